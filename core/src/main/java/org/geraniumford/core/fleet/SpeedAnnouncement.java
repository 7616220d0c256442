package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

/**
 * What an entry has measured itself of a server's speed. It contains nothing that the entry heard from others, so that
 * no measurement counts twice and none returns to the entry that made it.
 *
 * @param server the server's name
 * @param incarnation the server's incarnation
 * @param prefillTokensPerSecond the number of prompt tokens prefilled per second; 0 if it is not known
 * @param stepMicros the time between two output tokens of one response, in microseconds; 0 if it is not known
 * @param requestMicros the time that a plain service takes for a request, in microseconds; 0 if it is not known
 * @param samples the number of measurements
 * @param weightMillis the weight of the measurements at the time of the announcement, in thousandths
 */
public record SpeedAnnouncement(
        String server,
        long incarnation,
        long prefillTokensPerSecond,
        long stepMicros,
        long requestMicros,
        int samples,
        int weightMillis) {
    /** Checks the components. */
    public SpeedAnnouncement {
        requireNonNull(server, "server is null");
    }
}

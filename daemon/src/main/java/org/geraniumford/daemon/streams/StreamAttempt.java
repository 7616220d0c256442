package org.geraniumford.daemon.streams;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.geraniumford.core.stream.StreamOrigin;

/**
 * An attempt at a stream that a caller may take up again. It says nothing of the version of the stream before it has
 * brought an event.
 *
 * @param requestId the id that the caller gave to the request
 * @param service the name of the service
 * @param softwareVersion the version of the software of the server that is sent the request; empty if its listing names
 *     none
 * @param lifetime how long the stream may last
 */
public record StreamAttempt(String requestId, String service, String softwareVersion, Duration lifetime) {
    /** Checks the components. */
    public StreamAttempt {
        requireNonNull(requestId, "requestId is null");
        requireNonNull(service, "service is null");
        requireNonNull(softwareVersion, "softwareVersion is null");
        requireNonNull(lifetime, "lifetime is null");
    }

    // -- queries

    /** Returns the origin of the stream whose first event this attempt has brought, at a time of the shared clock. */
    StreamOrigin originAt(long firstEventMillis) {
        return new StreamOrigin(StreamOrigin.key(requestId), service, softwareVersion, firstEventMillis);
    }
}

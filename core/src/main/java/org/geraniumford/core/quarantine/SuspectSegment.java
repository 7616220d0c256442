package org.geraniumford.core.quarantine;

import java.util.List;

/**
 * A segment under which engines ended, as one entry announces it to the others.
 *
 * @param segment the segment's key
 * @param level the number of engines that ended one after the other, each under a request that was sent after the end
 *     before was known
 * @param clearedLevel the level up to which a response that began has refuted the suspicion
 * @param ageMillis how many milliseconds ago the level was reached
 * @param servers the keys of the server incarnations that ended
 */
public record SuspectSegment(long segment, int level, int clearedLevel, long ageMillis, List<Long> servers) {
    /**
     * Checks the components and copies the list.
     *
     * @throws IllegalArgumentException if the levels or the age are out of range
     */
    public SuspectSegment {
        if (clearedLevel < 0 || level < clearedLevel || ageMillis < 0) {
            throw new IllegalArgumentException("level " + level + ", cleared " + clearedLevel + ", age " + ageMillis);
        }
        servers = List.copyOf(servers);
    }
}

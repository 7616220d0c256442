package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What an entry lately had one backend server read.
 *
 * @param server the server's name
 * @param segments the parts, oldest first
 */
public record PrefilledSegments(String server, List<ScopedSegment> segments) {
    /** Checks and copies the components. */
    public PrefilledSegments {
        requireNonNull(server, "server is null");
        segments = List.copyOf(segments);
    }
}

package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The prompt segments that one backend server prefilled for an entry since the entry's last gossip message.
 *
 * @param server the server's name
 * @param segments the segments, oldest first
 */
public record PrefilledSegments(String server, List<ScopedSegment> segments) {
    /** Checks and copies the components. */
    public PrefilledSegments {
        requireNonNull(server, "server is null");
        segments = List.copyOf(segments);
    }
}

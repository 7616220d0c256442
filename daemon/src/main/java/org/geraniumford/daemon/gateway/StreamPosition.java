package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * What a caller has of a stream that it takes up again.
 *
 * @param lastEventId the id of the last event that it has received
 * @param firstRequestId the id of its request that brought the first event; empty if it names none
 */
public record StreamPosition(String lastEventId, Optional<String> firstRequestId) {
    /** Checks the components. */
    public StreamPosition {
        requireNonNull(lastEventId, "lastEventId is null");
        requireNonNull(firstRequestId, "firstRequestId is null");
    }
}

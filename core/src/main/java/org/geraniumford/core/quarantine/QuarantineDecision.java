package org.geraniumford.core.quarantine;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/** Whether an attempt may begin, by the shared segments of its prompt. */
public sealed interface QuarantineDecision {
    /** No engine ended under a segment of the prompt lately. */
    record Unsuspected() implements QuarantineDecision {}

    /**
     * The attempt may begin, best at the engine with the fewest requests, because the engine may end under it.
     *
     * @param segment the key of the most suspect segment
     * @param count the number of ends that count against it
     * @param trial whether the segment is held and the attempt would be its trial
     */
    record Suspected(long segment, int count, boolean trial) implements QuarantineDecision {}

    /**
     * The attempt must not begin.
     *
     * @param segment the key of the most suspect segment
     * @param count the number of ends that count against it
     * @param retryAfter the time after which the request may be tried again, at least 250 ms
     */
    record Held(long segment, int count, Duration retryAfter) implements QuarantineDecision {
        /** Checks the components. */
        public Held {
            requireNonNull(retryAfter, "retryAfter is null");
        }
    }
}

package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/** Whether a request is admitted, in view of the work that its servers have. */
public sealed interface OverloadDecision {
    /** The request may be sent: a server has room, or none could take it in any case. */
    record Admitted() implements OverloadDecision {}

    /**
     * No server that could take the request has room for it.
     *
     * @param untilRoom the time until the first of them should have room
     * @param placesPerSecond how many requests a second the servers take from this entry, above 0
     * @param inputs what the decision is based on
     */
    record Refused(Duration untilRoom, double placesPerSecond, OverloadInputs inputs) implements OverloadDecision {
        /** Checks the components. */
        public Refused {
            requireNonNull(untilRoom, "untilRoom is null");
            requireNonNull(inputs, "inputs is null");
        }
    }
}

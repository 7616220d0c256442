package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

/** What a response says of the requests a second that its server takes from all entries together. */
public sealed interface ServerLimitField {
    /** The response names no limit. */
    record Absent() implements ServerLimitField {}

    /**
     * The response names a limit.
     *
     * @param requestsPerSecond the number of requests a second, at least 0
     */
    record Named(double requestsPerSecond) implements ServerLimitField {}

    /**
     * The response has a value that is no limit.
     *
     * @param value the value
     */
    record Invalid(String value) implements ServerLimitField {
        /** Checks the component. */
        public Invalid {
            requireNonNull(value, "value is null");
        }
    }
}

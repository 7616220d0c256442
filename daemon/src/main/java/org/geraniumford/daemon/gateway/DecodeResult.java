package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

/** The outcome of reading a caller's request. */
public sealed interface DecodeResult {
    /**
     * A request that can be served.
     *
     * @param request what it says
     */
    record Valid(InboundRequest request) implements DecodeResult {
        /** Checks the components. */
        public Valid {
            requireNonNull(request, "request is null");
        }
    }

    /**
     * A request that cannot be understood.
     *
     * @param problem what is wrong and where
     */
    record Malformed(String problem) implements DecodeResult {
        /** Checks the components. */
        public Malformed {
            requireNonNull(problem, "problem is null");
        }
    }
}

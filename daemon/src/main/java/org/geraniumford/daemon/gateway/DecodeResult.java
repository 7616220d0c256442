package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

/** The result of decoding a caller's request. */
public sealed interface DecodeResult {
    /**
     * A well-formed request.
     *
     * @param request the decoded request
     */
    record Valid(InboundRequest request) implements DecodeResult {
        /** Checks the components. */
        public Valid {
            requireNonNull(request, "request is null");
        }
    }

    /**
     * A request that cannot be decoded.
     *
     * @param problem a description of what is wrong, and where
     */
    record Malformed(String problem) implements DecodeResult {
        /** Checks the components. */
        public Malformed {
            requireNonNull(problem, "problem is null");
        }
    }
}

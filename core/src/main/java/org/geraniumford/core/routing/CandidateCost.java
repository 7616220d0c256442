package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

/**
 * The estimated cost of running a request on one candidate, by cost term.
 *
 * @param host the host's name
 * @param source the reason why the host is a candidate
 * @param known the outcome of the probe of the host
 * @param cachedPieces the number of the prompt's leading blocks that the host has cached, as reported by its probe
 *     response; without a response, the number in the hint if it names this host, else 0
 * @param pendingPieces the number of leading blocks that the host will have cached when its running prefills end, at
 *     least {@code cachedPieces}
 * @param waitMicros the estimated time that the request waits in the host's queue, in microseconds
 * @param prefillMicros the time to prefill the uncached blocks, in microseconds; a block that another request is
 *     prefilling counts with only the fraction {@link RoutingCosts#pendingFactor} of its time
 * @param distanceMicros the round-trip time to the host's failure domain, in microseconds; 0 within the entry's own
 * @param duplicationMicros the penalty for prefilling blocks that another candidate has cached, or for prefilling
 *     shared blocks on a spare host, which rendezvous hashing does not pick for later requests, in microseconds
 */
public record CandidateCost(
        String host,
        Candidate.Source source,
        ProbeOutcome known,
        int cachedPieces,
        int pendingPieces,
        long waitMicros,
        long prefillMicros,
        long distanceMicros,
        long duplicationMicros) {
    /** The outcome of the probe of a host. */
    public enum ProbeOutcome {
        /** The host responded. */
        ANSWERED,
        /** The response did not arrive in time. */
        LOST,
        /** The host was not probed. */
        NOT_ASKED
    }

    /** Checks the components. */
    public CandidateCost {
        requireNonNull(host, "host is null");
        requireNonNull(source, "source is null");
        requireNonNull(known, "known is null");
    }

    // -- queries

    /**
     * Returns the total cost, by which candidates are compared.
     *
     * @return the sum of all terms, in microseconds
     */
    public long costMicros() {
        return waitMicros + prefillMicros + distanceMicros + duplicationMicros;
    }
}

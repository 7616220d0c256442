package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

/**
 * What one candidate offers to a request, and what that costs.
 *
 * @param host the host
 * @param source why it is a candidate
 * @param known what became of the question to the host
 * @param cachedPieces how many leading pieces it holds
 * @param pendingPieces how many leading pieces it will hold once running prefills end
 * @param waitMicros its estimated wait
 * @param prefillMicros the time to compute what it misses
 * @param distanceMicros the time for the way to it
 * @param duplicationMicros the penalty for computing what another candidate holds, or where nobody looks for it
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
    /** What became of the question to a host. */
    public enum ProbeOutcome {
        /** The host answered. */
        ANSWERED,
        /** The answer did not come in time. */
        LOST,
        /** The host was not asked. */
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
     * Returns what the offers are compared by.
     *
     * @return the sum of all terms, in microseconds
     */
    public long costMicros() {
        return waitMicros + prefillMicros + distanceMicros + duplicationMicros;
    }
}

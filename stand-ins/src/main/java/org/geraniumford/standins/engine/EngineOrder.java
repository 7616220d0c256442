package org.geraniumford.standins.engine;

import java.util.Objects;

/**
 * The body of an order.
 *
 * @param term the sender's term
 * @param sequence the order's number in that term
 * @param kind what to do
 * @param value the model version, the adapter or the role
 * @param weightsDigest the digest of the version's weights; for {@link Kind#LOAD_VERSION} only
 */
public record EngineOrder(long term, long sequence, Kind kind, String value, String weightsDigest)
        implements Comparable<EngineOrder> {
    /** Checks the components. */
    public EngineOrder {
        if (kind == null || value == null) {
            throw new IllegalArgumentException("kind or value is missing");
        }
        weightsDigest = Objects.requireNonNullElse(weightsDigest, "");
    }

    /**
     * Orders by fencing number.
     *
     * @param other another order
     * @return less than 0 if this one is older
     */
    @Override
    public int compareTo(EngineOrder other) {
        int byTerm = Long.compare(term, other.term);
        return byTerm == 0 ? Long.compare(sequence, other.sequence) : byTerm;
    }

    /** What an order asks for. The names in JSON are in lower case. */
    public enum Kind {
        /** Loads a model version in place of the present one. */
        LOAD_VERSION(true),
        /** Loads an adapter beside the others. */
        LOAD_ADAPTER(true),
        /** Changes the engine's role. */
        CHANGE_ROLE(false);

        private final boolean loadsWeights;

        Kind(boolean loads) {
            this.loadsWeights = loads;
        }

        /**
         * Says whether the order takes the load time.
         *
         * @return true if weights are loaded
         */
        public boolean loadsWeights() {
            return loadsWeights;
        }
    }
}

package org.geraniumford.standins.engine;

import java.util.Objects;

/**
 * An order to an engine, read from JSON. Its fencing number consists of {@code term} and {@code sequence}.
 *
 * @param term the fencing term of the sender's lease
 * @param sequence the number of the order in that term
 * @param kind the kind of the order
 * @param value the model version, adapter or role, depending on the kind
 * @param weightsDigest the digest of the weights of the version, for {@link Kind#LOAD_VERSION}; null becomes empty
 */
public record EngineOrder(long term, long sequence, Kind kind, String value, String weightsDigest)
        implements Comparable<EngineOrder> {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if {@code kind} or {@code value} is null
     */
    public EngineOrder {
        if (kind == null || value == null) {
            throw new IllegalArgumentException("kind or value is missing");
        }
        weightsDigest = Objects.requireNonNullElse(weightsDigest, "");
    }

    /**
     * Compares the fencing numbers of two orders: first the terms, then the sequence numbers.
     *
     * @param other another order
     * @return less than 0 if this order is older, 0 if the numbers are equal, else more than 0
     */
    @Override
    public int compareTo(EngineOrder other) {
        int byTerm = Long.compare(term, other.term);
        return byTerm == 0 ? Long.compare(sequence, other.sequence) : byTerm;
    }

    /** The kind of an order. The names in JSON are in lower case. */
    public enum Kind {
        /** Loads a model version in place of the current one and unloads the adapters. */
        LOAD_VERSION(true),
        /** Loads an adapter in addition to those already loaded. */
        LOAD_ADAPTER(true),
        /** Changes the role of the engine. */
        CHANGE_ROLE(false);

        private final boolean loadsWeights;

        Kind(boolean loadsWeights) {
            this.loadsWeights = loadsWeights;
        }

        /**
         * Returns whether orders of this kind load weights, which takes the load time.
         *
         * @return true if the order loads weights
         */
        public boolean loadsWeights() {
            return loadsWeights;
        }
    }
}

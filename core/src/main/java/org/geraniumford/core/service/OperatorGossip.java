package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.weights.PublishedWeights;

/**
 * What an entry knows of the operator's table.
 *
 * @param configuration when the version of the configuration that the sender has in force was confirmed last
 * @param weights the recently published versions of each model's weights
 */
public record OperatorGossip(ConfirmedConfiguration configuration, List<PublishedWeights> weights) {
    /** Checks and copies the components. */
    public OperatorGossip {
        requireNonNull(configuration, "configuration is null");
        weights = List.copyOf(weights);
    }

    // -- construction

    /**
     * Returns the gossip of an entry that has not read the table.
     *
     * @return gossip without a configuration and without weights
     */
    public static OperatorGossip empty() {
        return new OperatorGossip(ConfirmedConfiguration.NONE, List.of());
    }
}

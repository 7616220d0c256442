package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * Weights that the operator named for a model, as one entry knows of them.
 *
 * @param model the model
 * @param version the version
 * @param ageMillis how long ago it was named, or found if it was not witnessed
 * @param publicationObserved true if it was named while the entry followed the store; else it was there when the entry
 *     started
 */
public record PublishedWeights(String model, int version, long ageMillis, boolean publicationObserved) {
    /** Checks the components. */
    public PublishedWeights {
        requireNonNull(model, "model is null");
    }
}

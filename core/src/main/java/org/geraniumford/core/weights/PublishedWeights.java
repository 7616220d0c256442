package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * A version of a model's weights that the operator published, with the age that one entry announces for it.
 *
 * @param model the name of the model
 * @param version the version
 * @param ageMillis how many milliseconds ago the version was published, or first found if its publication was not
 *     observed
 * @param publicationObserved true if the version was published while the entry followed the store; false if it existed
 *     already when the entry started
 */
public record PublishedWeights(String model, int version, long ageMillis, boolean publicationObserved) {
    /** Checks the components. */
    public PublishedWeights {
        requireNonNull(model, "model is null");
    }
}

package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * A version of a model's weights that the operator published, with its time as one entry announces it. The time is one
 * of the shared clock, so that it stays right however long the announcement is on its way. Time and age together tell
 * what the clock showed at the announcement.
 *
 * @param model the name of the model
 * @param version the version
 * @param publishedMillis a time after which the version was published, or the time when it was first found if its
 *     publication was not observed, in milliseconds of the shared clock
 * @param ageMillis how many milliseconds before the announcement that was
 * @param publicationObserved true if the version was published while the entry followed the store; false if it existed
 *     already when the entry started
 */
public record PublishedWeights(
        String model, int version, long publishedMillis, long ageMillis, boolean publicationObserved) {
    /** Checks the components. */
    public PublishedWeights {
        requireNonNull(model, "model is null");
    }
}

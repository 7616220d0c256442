package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

/**
 * The newest weights that the operator named for a model.
 *
 * @param model the model
 * @param version the version
 * @param ageMillis how long ago it was named, as far as is known
 */
public record NamedWeights(String model, int version, long ageMillis) {
    /** Checks the components. */
    public NamedWeights {
        requireNonNull(model, "model is null");
    }
}

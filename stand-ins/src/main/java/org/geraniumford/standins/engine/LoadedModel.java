package org.geraniumford.standins.engine;

import java.util.Set;
import java.util.TreeSet;

/**
 * The model that an engine has loaded, and its role.
 *
 * @param modelVersion the loaded model version
 * @param weightsDigest the digest of the loaded weights
 * @param adapters the names of the loaded adapters
 * @param role the role set by the latest {@code change_role} order, {@code serve} at first; the stand-in only reports
 *     it
 */
record LoadedModel(String modelVersion, String weightsDigest, Set<String> adapters, String role) {
    private static final String DEFAULT_ROLE = "serve";

    LoadedModel {
        adapters = Set.copyOf(adapters);
    }

    static LoadedModel of(EngineOptions options) {
        return new LoadedModel(options.modelVersion(), options.weightsDigest(), Set.of(), DEFAULT_ROLE);
    }

    /** Returns the model after an order. */
    LoadedModel apply(EngineOrder order) {
        return switch (order.kind()) {
            case LOAD_VERSION -> new LoadedModel(order.value(), order.weightsDigest(), Set.of(), role);
            case LOAD_ADAPTER -> new LoadedModel(modelVersion, weightsDigest, adaptersWith(order.value()), role);
            case CHANGE_ROLE -> new LoadedModel(modelVersion, weightsDigest, adapters, order.value());
        };
    }

    private Set<String> adaptersWith(String adapter) {
        Set<String> extended = new TreeSet<>(adapters);
        extended.add(adapter);
        return extended;
    }
}

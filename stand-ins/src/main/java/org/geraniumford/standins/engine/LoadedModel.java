package org.geraniumford.standins.engine;

import java.util.Set;
import java.util.TreeSet;

/**
 * What an engine holds and does.
 *
 * @param modelVersion the model version
 * @param weightsDigest the digest of its weights
 * @param adapters the loaded adapters
 * @param role what the engine is used for
 */
record LoadedModel(String modelVersion, String weightsDigest, Set<String> adapters, String role) {
    private static final String DEFAULT_ROLE = "serve";

    LoadedModel {
        adapters = Set.copyOf(adapters);
    }

    static LoadedModel of(EngineOptions options) {
        return new LoadedModel(options.modelVersion(), options.weightsDigest(), Set.of(), DEFAULT_ROLE);
    }

    LoadedModel apply(EngineOrder order) {
        return switch (order.kind()) {
            case LOAD_VERSION -> new LoadedModel(order.value(), order.weightsDigest(), Set.of(), role);
            case LOAD_ADAPTER -> new LoadedModel(modelVersion, weightsDigest, adaptersWith(order.value()), role);
            case CHANGE_ROLE -> new LoadedModel(modelVersion, weightsDigest, adapters, order.value());
        };
    }

    private Set<String> adaptersWith(String adapter) {
        Set<String> all = new TreeSet<>(adapters);
        all.add(adapter);
        return all;
    }
}

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
record EngineHolding(String modelVersion, String weightsDigest, Set<String> adapters, String role) {
    private static final String ROLE = "serve";

    EngineHolding {
        adapters = Set.copyOf(adapters);
    }

    static EngineHolding of(EngineOptions options) {
        return new EngineHolding(options.modelVersion(), options.weightsDigest(), Set.of(), ROLE);
    }

    EngineHolding after(EngineOrder order) {
        return switch (order.kind()) {
            case LOAD_VERSION -> new EngineHolding(order.value(), order.weightsDigest(), Set.of(), role);
            case LOAD_ADAPTER -> new EngineHolding(modelVersion, weightsDigest, plus(order.value()), role);
            case CHANGE_ROLE -> new EngineHolding(modelVersion, weightsDigest, adapters, order.value());
        };
    }

    private Set<String> plus(String adapter) {
        Set<String> all = new TreeSet<>(adapters);
        all.add(adapter);
        return all;
    }
}

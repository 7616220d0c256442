package org.geraniumford.daemon.sidecar;

import static java.util.Objects.requireNonNull;

import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.engine.EngineState;

/**
 * The state of a sidecar's backend server, as last observed.
 *
 * @param service the plain service's name; empty for a model engine
 * @param modelVersion the version of the model that the engine serves; empty for a plain service
 * @param weightsDigest the digest of the weights that the engine serves; empty for a plain service
 * @param incarnation the engine's incarnation, or the sidecar's own for a plain service; 0 while the backend server is
 *     down
 * @param checksFencing whether the engine rejects orders with an outdated fencing token
 */
record BackendState(
        String service, String modelVersion, String weightsDigest, long incarnation, boolean checksFencing) {
    BackendState {
        requireNonNull(service, "service is null");
        requireNonNull(modelVersion, "modelVersion is null");
        requireNonNull(weightsDigest, "weightsDigest is null");
    }

    // -- construction

    static BackendState down(String service) {
        return new BackendState(service, "", "", 0, false);
    }

    static BackendState of(EngineState state) {
        return new BackendState(
                "", state.modelVersion(), state.weightsDigest(), state.incarnation(), state.checksFencing());
    }

    // -- queries

    boolean isUp() {
        return incarnation != 0;
    }

    Message.SidecarState toMessage(boolean leaving, long estimatedWaitMicros) {
        return new Message.SidecarState(
                service, modelVersion, weightsDigest, incarnation, leaving, estimatedWaitMicros);
    }
}

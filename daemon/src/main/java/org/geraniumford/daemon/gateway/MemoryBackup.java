package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalInt;
import org.geraniumford.core.fleet.SendDecision;
import org.geraniumford.core.fleet.ServerState;

/**
 * The backup of the KV memory of one attempt.
 *
 * @param server the engine that holds it
 * @param weightsVersion the version of the weights with which the memory is computed
 */
record MemoryBackup(ServerState server, OptionalInt weightsVersion) {
    /** Checks the components. */
    MemoryBackup {
        requireNonNull(server, "server is null");
        requireNonNull(weightsVersion, "weightsVersion is null");
    }

    // -- queries

    /**
     * Returns why a stream cannot go on from this backup: its engine has loaded other weights since, which make the
     * memory useless, or may not be sent the request now. Empty if it can.
     */
    Optional<String> obstacle(DispatchPlanner planner) {
        if (!planner.weightsVersion(server).equals(weightsVersion)) {
            return Optional.of("copy_of_other_weights");
        }
        SendDecision decision = planner.decideResumptionAt(server);
        return decision.forbidsSending() ? Optional.of("copy_" + decision.label()) : Optional.empty();
    }
}

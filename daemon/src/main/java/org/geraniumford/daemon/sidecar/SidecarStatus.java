package org.geraniumford.daemon.sidecar;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumford.core.cache.CacheCounts;

/**
 * A sidecar's state for operators.
 *
 * @param processId the process's name
 * @param backend what is known of the backend server
 * @param leaving whether no new work is taken
 * @param waiting the number of model requests that wait
 * @param running the number of model requests that the engine holds
 * @param calls the number of calls that the plain service holds
 * @param cachedPieces the number of pieces in the index
 * @param cache what the index has met
 */
record SidecarStatus(
        String processId,
        BackendState backend,
        boolean leaving,
        int waiting,
        int running,
        int calls,
        int cachedPieces,
        CacheCounts cache) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    // -- queries

    boolean ready() {
        return backend.up() && !leaving;
    }

    String json() {
        ObjectNode json = MAPPER.createObjectNode()
                .put("process", processId)
                .put("role", "sidecar")
                .put("service", backend.service())
                .put("model_version", backend.modelVersion())
                .put("weights_digest", backend.weightsDigest())
                .put("backend_incarnation", backend.incarnation())
                .put("leaving", leaving)
                .put("waiting", waiting)
                .put("running", running)
                .put("calls", calls)
                .put("cached_pieces", cachedPieces);
        json.putObject("cache")
                .put("gaps", cache.gaps())
                .put("lost_events", cache.lostEvents())
                .put("voided_claims", cache.voidedClaims())
                .put("stale_events", cache.staleEvents())
                .put("late_events", cache.lateEvents())
                .put("wrong_claims", cache.wrongClaims());
        return json.toString();
    }
}

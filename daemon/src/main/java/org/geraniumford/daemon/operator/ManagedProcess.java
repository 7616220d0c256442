package org.geraniumford.daemon.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A process that operators can inspect and drain. Its methods may be called on any thread and must not block. */
public interface ManagedProcess {
    // -- queries

    /**
     * Returns whether the process takes new work.
     *
     * @return false while the process drains and while it cannot serve requests, such as an entry without a
     *     configuration or a connected sidecar, or a sidecar whose backend server is down
     */
    boolean isReady();

    /**
     * Returns the status of the process.
     *
     * @return the current status
     */
    ProcessStatus status();

    /**
     * Returns the record of how a request was routed and served.
     *
     * @param requestId the request's identifier
     * @return a JSON object, or empty if the process has no record of it
     */
    default Optional<String> explain(String requestId) {
        return Optional.empty();
    }

    // -- commands

    /**
     * Refuses new work from now on. Once the running work has ended, the entry or sidecar closes.
     *
     * @return a future that completes once the entry or sidecar is closed
     */
    CompletableFuture<Void> drain();
}

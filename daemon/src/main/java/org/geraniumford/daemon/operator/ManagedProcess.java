package org.geraniumford.daemon.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** What a daemon tells its operators. Its methods may run on any thread and must not block. */
public interface ManagedProcess {
    // -- queries

    /**
     * Says whether the process takes new work.
     *
     * @return false before the first configuration and while draining
     */
    boolean isReady();

    /**
     * Returns the process's state.
     *
     * @return the present state
     */
    ProcessStatus status();

    /**
     * Explains how a request was served.
     *
     * @param requestId the request's identifier
     * @return a JSON object, or empty if the process has no record of it
     */
    default Optional<String> explain(String requestId) {
        return Optional.empty();
    }

    // -- commands

    /**
     * Refuses new work from now on.
     *
     * @return done once the running work has ended
     */
    CompletableFuture<Void> drain();
}

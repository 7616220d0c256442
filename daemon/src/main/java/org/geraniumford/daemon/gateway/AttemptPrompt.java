package org.geraniumford.daemon.gateway;

import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.quarantine.PromptUse;

/** What one attempt shows about the segments of its prompt: that a response began, or that the engine ended. */
final class AttemptPrompt {
    private final PromptQuarantine quarantine;
    private final String requestId;
    private final PromptUse use;
    private boolean responseBegan;

    private AttemptPrompt(PromptQuarantine quarantine, String requestId, PromptUse use) {
        this.quarantine = quarantine;
        this.requestId = requestId;
        this.use = use;
    }

    // -- construction

    /**
     * Begins the attempt.
     *
     * @param quarantine the quarantine of prompt segments
     * @param admitted the request
     * @param resumed whether the response began in an earlier attempt, so that its prompt is not suspect
     */
    static AttemptPrompt begin(PromptQuarantine quarantine, AdmittedRequest admitted, boolean resumed) {
        String requestId = admitted.request().id();
        PromptUse use = admitted.request()
                .prompt()
                .filter(prompt -> !resumed)
                .map(prompt -> quarantine.begin(requestId, prompt))
                .orElse(PromptUse.empty());
        return new AttemptPrompt(quarantine, requestId, use);
    }

    // -- events

    /** Records that a whole event, or a whole response, has arrived. */
    void recordWholeEvent() {
        if (!responseBegan) {
            responseBegan = true;
            quarantine.recordFirstEvent(use);
        }
    }

    /** Records that the server closed the connection. */
    void recordClosed(BackendServer server, long sentNanos) {
        if (!responseBegan && !use.segments().isEmpty()) {
            quarantine.recordEngineEnd(requestId, use, server, sentNanos);
        }
    }

    /** Records that the attempt has ended, in whatever way. */
    void release() {
        quarantine.release(use);
    }
}

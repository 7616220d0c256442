package org.geraniumford.daemon.gateway;

import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.quarantine.PromptUse;

/** What one attempt shows about its request and prompt: that a response began, or that the server ended. */
final class AttemptPrompt {
    private final PromptQuarantine quarantine;
    private final String requestId;
    private final SuspectRequest request;
    private final PromptUse use;
    private boolean responseBegan;

    private AttemptPrompt(PromptQuarantine quarantine, String requestId, SuspectRequest request, boolean resumed) {
        this.quarantine = quarantine;
        this.requestId = requestId;
        this.request = request;
        this.responseBegan = resumed;
        this.use = resumed ? PromptUse.empty() : quarantine.begin(requestId, request);
    }

    // -- construction

    /**
     * Begins the attempt.
     *
     * @param quarantine the quarantine of requests and prompt segments
     * @param requestId the id of the request
     * @param request the keys of the request
     * @param resumed whether the response began in an earlier attempt, so that the request is not suspect
     */
    static AttemptPrompt begin(PromptQuarantine quarantine, String requestId, SuspectRequest request, boolean resumed) {
        return new AttemptPrompt(quarantine, requestId, request, resumed);
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
        if (!responseBegan) {
            quarantine.recordEngineEnd(requestId, request, use, server, sentNanos);
        }
    }

    /** Records that the attempt has ended, in whatever way. */
    void release() {
        quarantine.release(use);
    }
}

package org.geraniumford.daemon.gateway;

import org.geraniumford.core.fleet.ServerLoad;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.fleet.TokenGaps;

/**
 * Measures the server's speed during one attempt. Only responses with content count, so that a server which sends
 * errors or empty responses quickly does not appear to be fast.
 */
final class SpeedSampler {
    private static final int OK = 200;

    private final ServerState server;
    private final boolean isPrompt;
    private final long prefillTokens;
    private final long tokensBefore;
    private final boolean isSlotFree;
    private final TokenGaps gaps = TokenGaps.empty();
    private boolean begun;
    private boolean stepRecorded;
    private boolean hasBody;

    private SpeedSampler(
            ServerState server, boolean isPrompt, long prefillTokens, long tokensBefore, boolean isSlotFree) {
        this.server = server;
        this.isPrompt = isPrompt;
        this.prefillTokens = prefillTokens;
        this.tokensBefore = tokensBefore;
        this.isSlotFree = isSlotFree;
    }

    // -- construction

    /** Creates a sampler. Called before the load of the attempt is recorded. */
    static SpeedSampler of(ServerState server, AdmittedRequest admitted, long prefillTokens) {
        ServerLoad load = server.totalLoad();
        return new SpeedSampler(
                server,
                admitted.request().prompt().isPresent(),
                prefillTokens,
                load.pendingPrefillTokens(admitted.priority()),
                load.running() < server.server().slots());
    }

    // -- events

    /** Records that one or more whole events of a stream arrived. */
    void recordEvents(long sentNanos, long nowNanos) {
        if (!isPrompt || stepRecorded) {
            return;
        }
        if (!begun) {
            begun = true;
            server.speedEstimate().recordPrefill(tokensBefore, prefillTokens, nowNanos - sentNanos, nowNanos);
        }
        gaps.record(nowNanos);
        if (gaps.isFull()) {
            recordStep(nowNanos);
        }
    }

    /** Records that a part of a body arrived that is not streamed. */
    void recordBody(int bytes) {
        hasBody |= bytes > 0;
    }

    /** Records the complete response; only one with status 200 counts. */
    void recordEnd(int status, long sentNanos, long nowNanos) {
        if (status != OK) {
            return;
        }
        if (isPrompt && !stepRecorded) {
            recordStep(nowNanos);
        } else if (!isPrompt && hasBody && isSlotFree) {
            server.speedEstimate().recordRequest(nowNanos - sentNanos, nowNanos);
        }
    }

    private void recordStep(long nowNanos) {
        stepRecorded = true;
        gaps.median().ifPresent(millis -> server.speedEstimate().recordStep(millis, nowNanos));
    }
}

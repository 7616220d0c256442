package org.geraniumford.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The speed of the fastest of the servers among which a request chooses. A longer prefill at a slower engine costs the
 * caller little as long as it ends well within the latency objective. Slow engines therefore get short prompts before
 * fast ones are full, and long prompts only when the others have long queues. Without this, an engine of a quarter of
 * the speed gets a twentieth of the requests at three quarters of the load, and the fast ones have queues. Immutable.
 *
 * @param prefillTokensPerMs the number of prompt tokens that the fastest engine prefills per millisecond
 * @param stepMs the shortest known time between two output tokens; empty if none is known
 * @param requestMs the shortest known time of a request at a plain service; empty if none is known
 */
record ReferenceSpeed(double prefillTokensPerMs, OptionalDouble stepMs, OptionalDouble requestMs) {
    /**
     * The factor up to which servers of a plain service count as equally fast. Measured times differ by some percent,
     * and without it the server whose time is the shortest by chance gets every request that need not wait.
     */
    private static final double EQUAL_REQUESTS_FACTOR = 1.25;

    /** The cost of each running request at engines whose time per step is not known. */
    private static final double RUNNING_REQUEST_COST_MS = 1.0;

    /**
     * The cost of each running request in steps of the fastest engine: 1 ms at a step of 5 ms. Each engine's own step
     * counts a slow engine's requests twice, because they also run longer there: it then gets 0.15 of the requests
     * where 0.20 match its speed.
     */
    private static final double RUNNING_REQUEST_COST_STEPS = 1.0 / 5;

    // -- construction

    /** Returns the speed of the fastest of some servers. */
    static ReferenceSpeed of(List<ServerState> servers) {
        return new ReferenceSpeed(
                servers.stream()
                        .mapToDouble(state -> state.speed().prefillTokensPerMs())
                        .max()
                        .orElse(ServerSpeed.UNKNOWN.prefillTokensPerMs()),
                servers.stream()
                        .flatMapToDouble(state -> state.speed().stepMs().stream())
                        .min(),
                servers.stream()
                        .flatMapToDouble(state -> state.speed().requestMs().stream())
                        .min());
    }

    // -- queries

    /**
     * Returns the cost of a prefill at an engine: its time at the fastest engine, and as much of the additional time as
     * it takes of the latency objective.
     */
    double prefillCostMs(ServerSpeed speed, long tokens, Duration targetLatency) {
        double actualMs = speed.prefillMillis(tokens);
        double fastestMs = Math.max(0, tokens) / prefillTokensPerMs;
        double additionalMs = actualMs - fastestMs;
        return fastestMs + additionalMs * Math.min(1, additionalMs / Math.max(1, targetLatency.toMillis()));
    }

    /** Returns how much longer a request takes at a server of a plain service than at one that counts as fast. */
    double requestCostMs(ServerSpeed speed) {
        return speed.requestMs().isPresent() && requestMs.isPresent()
                ? Math.max(0, speed.requestMs().getAsDouble() - EQUAL_REQUESTS_FACTOR * requestMs.getAsDouble())
                : 0;
    }

    /** Returns the cost of one running request in milliseconds. */
    double runningCostMs() {
        return stepMs.isPresent() ? RUNNING_REQUEST_COST_STEPS * stepMs.getAsDouble() : RUNNING_REQUEST_COST_MS;
    }
}

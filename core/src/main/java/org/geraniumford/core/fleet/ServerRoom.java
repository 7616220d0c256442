package org.geraniumford.core.fleet;

import java.time.Duration;

/**
 * The room that one server has for a request. Work that is less urgent than the request yields to it, because engines
 * preempt the newest of the least urgent requests.
 *
 * @param waitMs the time until the server would begin with the request, in milliseconds
 * @param maxWaitMs the longest wait with which the request is still useful, in milliseconds
 * @param freeTokens the memory that may still be reserved, in tokens; negative if too much is; infinite if the server's
 *     memory is not known
 * @param freeSlots the slots that may still be taken
 * @param fullMs how much longer the server counts as full after a rejection, in milliseconds
 * @param holdMs the time after which the requests that are in progress now have ended, in milliseconds
 * @param load the work that the server has
 */
record ServerRoom(
        double waitMs,
        double maxWaitMs,
        double freeTokens,
        double freeSlots,
        double fullMs,
        double holdMs,
        ServerLoad load) {
    /**
     * The part of the time limit in which a request must begin. What remains suffices in the worst case of the
     * specification: at an engine that always prefills other prompts, each output token takes a chunk and a step (75 ms
     * in deployment A, 120 ms at the slowest engine of B), so that 73 tokens take 5.5 of 15.2 s, 58 tokens 7.0 of 15.2
     * s, and 10 tokens after a prefill of 1.0 s 2.2 of 5.1 s.
     */
    private static final double STARTABLE_FRACTION = 0.5;

    /** The fraction of an engine's memory that running requests may need before some are preempted. */
    private static final double USABLE_MEMORY_FRACTION = 0.85;

    /** The largest fraction of memory and slots that is kept for more urgent requests, so that no kind is starved. */
    private static final double MAX_HEADROOM_FRACTION = 0.25;

    /** The time of the output of a short request of the specification: 73 steps of 8 ms. */
    private static final double OUTPUT_MS = 600;

    private static final double NANOS_PER_MILLI = 1_000_000;

    // -- construction

    /**
     * Determines the room of an engine.
     *
     * @param state the engine
     * @param query the request's requirements
     * @param headroom what is left to more urgent requests
     * @param fraction the fraction of each bound up to which the request may go
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    static ServerRoom ofEngine(
            ServerState state, ServerQuery query, Headroom headroom, double fraction, long nowNanos) {
        ServerLoad load = state.totalLoad();
        int priority = query.priority();
        int moreUrgent = Math.min(priority, ServerLoad.LEAST_URGENT) - 1;
        double capacity = state.kvCapacityTokens();
        double keptTokens = Math.min(headroom.tokens(), MAX_HEADROOM_FRACTION * capacity);
        double keptSlots = Math.min(
                headroom.slots(), MAX_HEADROOM_FRACTION * state.server().slots());
        double usedTokens = load.reservedTokens(priority) + Math.max(0, keptTokens - load.reservedTokens(moreUrgent));
        double usedSlots = load.running(priority) + Math.max(0, keptSlots - load.running(moreUrgent));
        return new ServerRoom(
                millis(state.prefillWait(priority)),
                fraction * STARTABLE_FRACTION * Math.max(0, millis(query.timeLimit())),
                capacity == 0 ? Double.POSITIVE_INFINITY : fraction * USABLE_MEMORY_FRACTION * capacity - usedTokens,
                Math.floor(fraction * state.server().slots() - usedSlots),
                state.rejection().isFull(priority, nowNanos)
                        ? millis(state.rejection().timeLeft(nowNanos))
                        : 0,
                OUTPUT_MS + millis(state.prefillWait(ServerLoad.LEAST_URGENT)),
                load);
    }

    /**
     * Determines the room of a plain service's server, which has no priorities: a request that must wait for a slot is
     * useful if it can end within its time limit. One that need not wait is always sent, because its own time may
     * differ from the mean, and because a mean that is too high is corrected only by further responses.
     *
     * @param state the server
     * @param query the request's requirements
     */
    static ServerRoom ofPlainServer(ServerState state, ServerQuery query) {
        ServerLoad load = state.totalLoad();
        int slots = state.server().slots();
        double responseMs =
                state.speed().millisToResponse(load.running(), slots).orElse(0);
        return new ServerRoom(
                load.running() < slots ? 0 : responseMs,
                Math.max(0, millis(query.timeLimit())),
                Double.POSITIVE_INFINITY,
                Double.POSITIVE_INFINITY,
                0,
                state.speed().millisToResponse(load.running() - 1, slots).orElse(0),
                load);
    }

    // -- queries

    /** Returns whether the server can take the request. */
    boolean isEnough() {
        return waitMs <= maxWaitMs && freeTokens >= 0 && freeSlots >= 1 && fullMs == 0;
    }

    /**
     * Estimates when the server can take the request: memory and slots become free evenly while the requests in
     * progress end.
     *
     * @return the time in milliseconds; 0 if it can now
     */
    double millisUntilEnough() {
        double memoryMs = holdMs * Math.min(1, Math.max(0, -freeTokens) / Math.max(1, load.reservedTokens()));
        double slotsMs = holdMs * Math.min(1, Math.max(0, 1 - freeSlots) / Math.max(1, load.running()));
        return Math.max(Math.max(waitMs - maxWaitMs, fullMs), Math.max(memoryMs, slotsMs));
    }

    /** Returns how many requests a second end at the server. */
    double endsPerSecond() {
        return Duration.ofSeconds(1).toMillis() * load.running() / Math.max(1, holdMs);
    }

    private static double millis(Duration duration) {
        return duration.toNanos() / NANOS_PER_MILLI;
    }
}

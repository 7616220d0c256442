package org.geraniumford.core.limits;

import java.time.Duration;

/**
 * Which requests of one customer leave room in its limit to more urgent ones. A less urgent kind yields only while more
 * urgent requests are refused, and not while it is itself served less than half as often as all kinds together. Not
 * thread-safe; times are from {@link System#nanoTime}.
 */
final class PriorityTurns {
    /** A refused request counts as waiting for this long; callers that return do so after about this time. */
    private static final Duration WAITING_TIME = Duration.ofSeconds(1);

    /** After this time what was asked for and served counts half. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(4);

    private static final int PRIORITIES = CustomerUse.NONE_WAITING;

    /** A kind that is served less often than this part of all requests yields to nobody. */
    private static final double MIN_SERVED_RATIO = 0.5;

    private final double[] asked = new double[PRIORITIES];
    private final double[] served = new double[PRIORITIES];

    /** Until when a request of each priority counts as waiting. */
    private final long[] waitingUntilNanos = new long[PRIORITIES];

    private long halvedNanos;

    private PriorityTurns(long nowNanos) {
        halvedNanos = nowNanos;
        java.util.Arrays.fill(waitingUntilNanos, nowNanos);
    }

    // -- construction

    static PriorityTurns empty(long nowNanos) {
        return new PriorityTurns(nowNanos);
    }

    // -- queries

    /** Returns whether a request leaves room to a more urgent one that waits. */
    boolean mustYield(int priority, long nowNanos) {
        int own = index(priority);
        return waitingPriority(nowNanos) < own && !isBehind(own);
    }

    /** Returns the most urgent priority of which a request was refused recently, here or at a peer. */
    int waitingPriority(long nowNanos) {
        for (int i = 0; i < PRIORITIES; i++) {
            if (nowNanos - waitingUntilNanos[i] < 0) {
                return i;
            }
        }
        return CustomerUse.NONE_WAITING;
    }

    private boolean isBehind(int own) {
        double allAsked = 0;
        double allServed = 0;
        for (int i = 0; i < PRIORITIES; i++) {
            allAsked += asked[i];
            allServed += served[i];
        }
        return served[own] * allAsked < MIN_SERVED_RATIO * allServed * asked[own];
    }

    // -- commands

    void record(int priority, double cost, boolean admitted, long nowNanos) {
        halveIfDue(nowNanos);
        int own = index(priority);
        asked[own] += cost;
        if (admitted) {
            served[own] += cost;
        } else {
            waitingUntilNanos[own] = nowNanos + WAITING_TIME.toNanos();
        }
    }

    /** Records that a peer refused requests of a priority recently. */
    void recordPeerWaiting(int priority, long nowNanos) {
        if (priority >= 0 && priority < PRIORITIES) {
            waitingUntilNanos[priority] = nowNanos + WAITING_TIME.toNanos() / 2;
        }
    }

    private void halveIfDue(long nowNanos) {
        if (nowNanos - halvedNanos > HALF_LIFE.toNanos()) {
            halvedNanos = nowNanos;
            for (int i = 0; i < PRIORITIES; i++) {
                asked[i] /= 2;
                served[i] /= 2;
            }
        }
    }

    private static int index(int priority) {
        return Math.max(0, Math.min(PRIORITIES - 1, priority));
    }
}

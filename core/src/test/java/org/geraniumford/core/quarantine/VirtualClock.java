package org.geraniumford.core.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled actions in virtual time; actions of the same time run in the order in which they were scheduled. */
final class VirtualClock {
    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::nanos).thenComparingLong(Action::number));

    private long nowNanos;
    private long scheduled;

    // -- queries

    long nowNanos() {
        return nowNanos;
    }

    // -- commands

    void schedule(long delayNanos, Runnable run) {
        actions.add(new Action(nowNanos + delayNanos, scheduled++, run));
    }

    void scheduleEvery(Duration interval, Runnable run) {
        schedule(interval.toNanos(), () -> {
            run.run();
            scheduleEvery(interval, run);
        });
    }

    void runUntil(Duration end) {
        while (!actions.isEmpty() && actions.peek().nanos() <= end.toNanos()) {
            Action next = actions.remove();
            nowNanos = next.nanos();
            next.run().run();
        }
        nowNanos = end.toNanos();
    }

    private record Action(long nanos, long number, Runnable run) {}
}

package org.geraniumford.core.limits;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.verdict.Refusal;

/**
 * When the requests that one entry refused for overload of a service should come again. Each is told a time behind
 * those that were refused before it and are as urgent, at the rate at which places become free. Not thread-safe; times
 * are from {@link System#nanoTime}.
 */
public final class RefusalTurns {
    /** The longest time that a refused request is told. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

    /** Callers wait at most this part of the time that they have left. */
    private static final int PARTS_OF_TIME_LIMIT = 3;

    /** For this time after its refusal a customer counts as one that waits. */
    private static final Duration WAITING_TIME = Duration.ofSeconds(1);

    private static final int MAX_CUSTOMERS = 1024;

    private final Map<Integer, Long> nextPlaceNanos = new LinkedHashMap<>();
    private final Map<Waiting, Long> refusedNanos = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Waiting, Long> eldest) {
            return size() > MAX_CUSTOMERS;
        }
    };

    private RefusalTurns() {}

    // -- construction

    /**
     * Creates turns in which nobody waits.
     *
     * @return empty turns
     */
    public static RefusalTurns empty() {
        return new RefusalTurns();
    }

    // -- queries

    /**
     * Returns whether another customer was refused a short time ago.
     *
     * @param customer the customer of a request
     * @param priority the priority of the request
     * @param nowNanos the current time
     * @return true if a request of another customer with the same priority was refused
     */
    public boolean isOtherWaiting(String customer, int priority, long nowNanos) {
        return refusedNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() < WAITING_TIME.toNanos())
                .map(Map.Entry::getKey)
                .anyMatch(waiting ->
                        waiting.priority() == priority && !waiting.customer().equals(customer));
    }

    // -- commands

    /**
     * Records a refusal.
     *
     * @param customer the customer of the request
     * @param priority the priority of the request
     * @param untilRoom the time until a server has room
     * @param placesPerSecond how many requests a second the servers take from this entry, above 0
     * @param timeLimit how much longer the caller waits
     * @param nowNanos the current time
     * @return the time after which there should be a place for the request, from {@link Refusal#MIN_RETRY_AFTER} to 5 s
     *     or a third of the time limit; when the places up to then are taken, they are told again from the first
     */
    public Duration recordRefused(
            String customer,
            int priority,
            Duration untilRoom,
            double placesPerSecond,
            Duration timeLimit,
            long nowNanos) {
        refusedNanos.put(new Waiting(customer, priority), nowNanos);
        long latest = nowNanos + longest(timeLimit).toNanos();
        long shortest = Math.max(untilRoom.toNanos(), Refusal.MIN_RETRY_AFTER.toNanos());
        long first = nowNanos + Math.min(shortest, latest - nowNanos);
        long next = nextPlaceNanos.getOrDefault(priority, first);
        long place = next - first < 0 || next - latest > 0 ? first : next;
        nextPlaceNanos.put(priority, place + (long) (TimeUnit.SECONDS.toNanos(1) / placesPerSecond));
        return Duration.ofNanos(place - nowNanos);
    }

    private static Duration longest(Duration timeLimit) {
        Duration part = timeLimit.dividedBy(PARTS_OF_TIME_LIMIT);
        Duration shorter = part.compareTo(MAX_RETRY_AFTER) < 0 ? part : MAX_RETRY_AFTER;
        return shorter.compareTo(Refusal.MIN_RETRY_AFTER) < 0 ? Refusal.MIN_RETRY_AFTER : shorter;
    }

    private record Waiting(String customer, int priority) {}
}

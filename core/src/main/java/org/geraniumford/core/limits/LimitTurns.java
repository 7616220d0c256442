package org.geraniumford.core.limits;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Which customer may use the places that servers with limits leave at one service, as one entry sees it. While a
 * customer waits that is more urgent or has used fewer of them, others take a place only if one is left for it. Not
 * thread-safe; times are from {@link System#nanoTime}.
 */
public final class LimitTurns {
    /** A refused request is expected again until this long after the time that it was told. */
    private static final Duration RETURN_SLACK = Duration.ofSeconds(1);

    /** The longest time that a refused request is told, because callers do not wait for longer. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

    /** After this time the places that a customer has used count half. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(10);

    private static final int MAX_CUSTOMERS = 1024;

    private final Map<String, Turn> turns = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Turn> eldest) {
            return size() > MAX_CUSTOMERS;
        }
    };

    private long halvedNanos;

    /** When the request that was refused last may have a place, if each takes one. */
    private long nextPlaceNanos;

    private LimitTurns(long nowNanos) {
        halvedNanos = nowNanos;
        nextPlaceNanos = nowNanos;
    }

    // -- construction

    /**
     * Creates turns in which nobody waits.
     *
     * @param nowNanos the current time
     * @return empty turns
     */
    public static LimitTurns empty(long nowNanos) {
        return new LimitTurns(nowNanos);
    }

    // -- queries

    /**
     * Returns whether a request must leave the next place to another customer.
     *
     * @param customer the customer of the request
     * @param priority the priority of the request; 0 is served first
     * @param nowNanos the current time
     * @return true if a customer waits that is more urgent, or as urgent and has used fewer places
     */
    public boolean mustYield(String customer, int priority, long nowNanos) {
        Turn own = turns.getOrDefault(customer, Turn.NONE);
        return turns.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(customer))
                .map(Map.Entry::getValue)
                .filter(turn -> turn.isWaiting(nowNanos))
                .anyMatch(turn -> turn.priority() < priority
                        || (turn.priority() == priority && turn.usedPlaces() < own.usedPlaces()));
    }

    // -- commands

    /**
     * Records that a request was sent to a server with a limit.
     *
     * @param customer the customer of the request
     * @param nowNanos the current time
     */
    public void recordUse(String customer, long nowNanos) {
        if (nowNanos - halvedNanos > HALF_LIFE.toNanos()) {
            halvedNanos = nowNanos;
            turns.replaceAll((name, turn) -> turn.halved());
        }
        turns.merge(customer, new Turn(1, Integer.MAX_VALUE, nowNanos), (turn, added) -> turn.withUse());
    }

    /**
     * Records that a request is refused because every server has reached its limit.
     *
     * @param customer the customer of the request
     * @param priority the priority of the request; 0 is served first
     * @param untilRoom the time until a server has room
     * @param placesPerSecond how many requests a second this entry may send to the servers
     * @param nowNanos the current time
     * @return the time after which there should be a place for the request, behind those that were refused before it
     */
    public Duration recordRefused(
            String customer, int priority, Duration untilRoom, double placesPerSecond, long nowNanos) {
        long firstNanos = nowNanos + untilRoom.toNanos();
        long placeNanos = nextPlaceNanos - firstNanos > 0 ? nextPlaceNanos : firstNanos;
        long latestNanos = nowNanos + Math.max(MAX_RETRY_AFTER.toNanos(), untilRoom.toNanos());
        long toldNanos = Math.min(placeNanos - nowNanos, latestNanos - nowNanos);
        nextPlaceNanos = nowNanos + toldNanos + (long) (TimeUnit.SECONDS.toNanos(1) / placesPerSecond);
        long waitsUntilNanos = nowNanos + toldNanos + RETURN_SLACK.toNanos();
        turns.merge(customer, new Turn(0, priority, waitsUntilNanos), (turn, added) -> turn.waiting(added, nowNanos));
        return Duration.ofNanos(toldNanos);
    }

    /**
     * The places that a customer has used, and until when it waits for one.
     *
     * @param usedPlaces the number of places; older ones count less
     * @param priority the priority of its most urgent request that waits
     * @param waitsUntilNanos the time until which a refused request of it is expected again
     */
    private record Turn(double usedPlaces, int priority, long waitsUntilNanos) {
        private static final Turn NONE = new Turn(0, Integer.MAX_VALUE, 0);

        boolean isWaiting(long nowNanos) {
            return priority != Integer.MAX_VALUE && nowNanos - waitsUntilNanos < 0;
        }

        Turn halved() {
            return new Turn(usedPlaces / 2, priority, waitsUntilNanos);
        }

        Turn withUse() {
            return new Turn(usedPlaces + 1, priority, waitsUntilNanos);
        }

        Turn waiting(Turn refused, long nowNanos) {
            int mostUrgent = isWaiting(nowNanos) ? Math.min(priority, refused.priority) : refused.priority;
            return new Turn(usedPlaces, mostUrgent, refused.waitsUntilNanos);
        }
    }
}

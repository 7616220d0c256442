package org.geraniumford.core.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

/**
 * What is known about one segment under which engines ended. The level counts ends that happened one after the other.
 * An end raises it only above the level that was known when the request was sent, so engines that end together count
 * once. No clocks are compared for this, because the clocks of entries differ. Merging takes the higher of both levels
 * and is therefore idempotent and independent of the order.
 */
final class Suspicion {
    private static final int MAX_SERVERS = 8;

    /** How long a suspicion is kept that holds no requests. */
    private static final Duration MEMORY = Duration.ofMinutes(10);

    /** How long a suspicion is kept that holds requests; longer than every hold. */
    private static final Duration HELD_MEMORY = Duration.ofDays(2);

    /** How long a change is announced; a message that is lost breaks its link, and a new one takes less than this. */
    private static final Duration ANNOUNCEMENT_TIME = Duration.ofSeconds(2);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final int level;
    private final int clearedLevel;
    private final long raisedNanos;
    private final long changedNanos;
    private final List<Long> servers;

    private Suspicion(int level, int clearedLevel, long raisedNanos, long changedNanos, List<Long> servers) {
        this.level = level;
        this.clearedLevel = clearedLevel;
        this.raisedNanos = raisedNanos;
        this.changedNanos = changedNanos;
        this.servers = servers;
    }

    // -- construction

    static Suspicion none(long nowNanos) {
        return new Suspicion(0, 0, nowNanos, nowNanos - ANNOUNCEMENT_TIME.toNanos(), List.of());
    }

    /** Returns what a peer announced; this entry does not announce it again unless the segment is held. */
    static Suspicion of(SuspectSegment told, long nowNanos) {
        return new Suspicion(
                told.level(),
                told.clearedLevel(),
                nowNanos - told.ageMillis() * NANOS_PER_MILLI,
                nowNanos - ANNOUNCEMENT_TIME.toNanos(),
                lastServers(told.servers().stream()));
    }

    // -- queries

    int level() {
        return level;
    }

    /** Returns the number of ends, one after the other, since the last response that began. */
    int count() {
        return level - clearedLevel;
    }

    boolean isHeld() {
        return HoldTimes.isHeld(count());
    }

    long raisedNanos() {
        return raisedNanos;
    }

    /** Returns the time until the hold ends; negative afterwards. */
    Duration holdLeft(long nowNanos) {
        return HoldTimes.of(count()).minusNanos(nowNanos - raisedNanos);
    }

    boolean isForgotten(long nowNanos) {
        Duration memory = isHeld() ? HELD_MEMORY : MEMORY;
        return nowNanos - raisedNanos > memory.toNanos();
    }

    boolean isAnnounced(long nowNanos) {
        return isHeld() || nowNanos - changedNanos < ANNOUNCEMENT_TIME.toNanos();
    }

    SuspectSegment announce(long segment, long nowNanos) {
        long ageMillis = Math.max(0, (nowNanos - raisedNanos) / NANOS_PER_MILLI);
        return new SuspectSegment(segment, level, clearedLevel, ageMillis, servers);
    }

    /** Returns whether another state lacks an end or a response that this one includes. */
    boolean isNewerThan(Suspicion other) {
        return level > other.level || clearedLevel > other.clearedLevel;
    }

    // -- combinators

    /** Adds the end of a server under a request that was sent at the given level. A server ends only once. */
    Suspicion withEnd(int sentLevel, long server, long nowNanos) {
        if (servers.contains(server)) {
            return this;
        }
        int newLevel = Math.max(level, Math.max(sentLevel, clearedLevel) + 1);
        return new Suspicion(
                newLevel,
                clearedLevel,
                newLevel > level ? nowNanos : raisedNanos,
                nowNanos,
                lastServers(Stream.concat(servers.stream(), Stream.of(server))));
    }

    /** Refutes the suspicion, because a response began. */
    Suspicion cleared(long nowNanos) {
        return new Suspicion(level, level, raisedNanos, nowNanos, servers);
    }

    Suspicion announcedAgain(long nowNanos) {
        return new Suspicion(level, clearedLevel, raisedNanos, nowNanos, servers);
    }

    Suspicion merge(Suspicion other) {
        return new Suspicion(
                Math.max(level, other.level),
                Math.max(clearedLevel, other.clearedLevel),
                mergedRaisedNanos(other),
                changedNanos,
                lastServers(Stream.concat(servers.stream(), other.servers.stream())));
    }

    /** Takes the earlier time of the same level: the age that a peer announced lacks the time on the way. */
    private long mergedRaisedNanos(Suspicion other) {
        if (level != other.level) {
            return level > other.level ? raisedNanos : other.raisedNanos;
        }
        return raisedNanos - other.raisedNanos <= 0 ? raisedNanos : other.raisedNanos;
    }

    private static List<Long> lastServers(Stream<Long> servers) {
        List<Long> distinct = servers.distinct().toList();
        return distinct.subList(Math.max(0, distinct.size() - MAX_SERVERS), distinct.size());
    }
}

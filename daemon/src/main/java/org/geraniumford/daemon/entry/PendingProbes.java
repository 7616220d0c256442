package org.geraniumford.daemon.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The probes of one shard that have no response yet. A probe's identifier modulo the number of shards is the shard's
 * index. Used by one worker only; not thread-safe.
 */
final class PendingProbes {
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<Long, PendingProbe> pending = new HashMap<>();
    private final int shardCount;
    private long nextId;

    private record PendingProbe(String requestId, long sentNanos) {}

    private PendingProbes(int index, int shardCount) {
        this.nextId = index;
        this.shardCount = shardCount;
    }

    // -- construction

    static PendingProbes of(int index, int shardCount) {
        return new PendingProbes(index, shardCount);
    }

    // -- queries

    /** Returns the index of the shard that sent a probe. */
    static int shardOf(long probeId, int shardCount) {
        return (int) Math.floorMod(probeId, (long) shardCount);
    }

    // -- commands

    /** Adds a probe for a request and returns its identifier. */
    long add(String requestId, long nowNanos) {
        long id = nextId;
        nextId += shardCount;
        pending.put(id, new PendingProbe(requestId, nowNanos));
        return id;
    }

    /** Removes a probe. Returns the identifier of its request; empty if the probe is unknown or has expired. */
    Optional<String> remove(long probeId) {
        return Optional.ofNullable(pending.remove(probeId)).map(PendingProbe::requestId);
    }

    /** Removes the probes that were sent more than 1 second ago. */
    void expire(long nowNanos) {
        pending.values().removeIf(probe -> nowNanos - probe.sentNanos() > EXPIRY_NANOS);
    }
}

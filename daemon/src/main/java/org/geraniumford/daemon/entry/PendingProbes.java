package org.geraniumford.daemon.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The probes without an answer. Their identifiers say which shard asked. Owned by one duty. */
final class PendingProbes {
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<Long, PendingProbe> pending = new HashMap<>();
    private final int shardCount;
    private long nextId;

    private record PendingProbe(String requestId, long sentNanos) {}

    private PendingProbes(int index, int shards) {
        this.nextId = index;
        this.shardCount = shards;
    }

    // -- construction

    static PendingProbes of(int index, int shards) {
        return new PendingProbes(index, shards);
    }

    // -- queries

    static int shardOf(long probeId, int shards) {
        return (int) Math.floorMod(probeId, (long) shards);
    }

    // -- commands

    long add(String requestId, long nowNanos) {
        long id = nextId;
        nextId += shardCount;
        pending.put(id, new PendingProbe(requestId, nowNanos));
        return id;
    }

    Optional<String> remove(long probeId) {
        return Optional.ofNullable(pending.remove(probeId)).map(PendingProbe::requestId);
    }

    void expire(long nowNanos) {
        pending.values().removeIf(probe -> nowNanos - probe.sentNanos() > EXPIRY_NANOS);
    }
}

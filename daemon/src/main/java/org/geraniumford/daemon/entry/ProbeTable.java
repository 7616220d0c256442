package org.geraniumford.daemon.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The probes without an answer. Their identifiers say which shard asked. Owned by one duty. */
final class ProbeTable {
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<Long, Asked> asked = new HashMap<>();
    private final int shards;
    private long next;

    private record Asked(String requestId, long atNanos) {}

    private ProbeTable(int index, int shards) {
        this.next = index;
        this.shards = shards;
    }

    // -- construction

    static ProbeTable of(int index, int shards) {
        return new ProbeTable(index, shards);
    }

    // -- queries

    static int shardOf(long probeId, int shards) {
        return (int) Math.floorMod(probeId, (long) shards);
    }

    // -- commands

    long add(String requestId, long nowNanos) {
        long id = next;
        next += shards;
        asked.put(id, new Asked(requestId, nowNanos));
        return id;
    }

    Optional<String> take(long probeId) {
        return Optional.ofNullable(asked.remove(probeId)).map(Asked::requestId);
    }

    void expire(long nowNanos) {
        asked.values().removeIf(probe -> nowNanos - probe.atNanos() > EXPIRY_NANOS);
    }
}

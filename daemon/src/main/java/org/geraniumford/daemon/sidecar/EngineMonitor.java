package org.geraniumford.daemon.sidecar;

import java.time.Duration;
import java.util.Optional;
import org.geraniumford.core.cache.CacheIndex;
import org.geraniumford.transport.engine.Engine;

/** Keeps the observed state of the engine and the index of its cache up to date. */
final class EngineMonitor implements BackendMonitor {
    private static final long POLL_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();
    private static final long CACHE_READ_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long FOLLOW_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

    private final Engine engine;
    private final CacheIndex index;
    private final EventRing ring;
    private long nextPollNanos;
    private long nextCacheReadNanos;
    private long nextFollowNanos;
    private long incarnationAtLastPoll;
    private boolean readingCache;
    /** Whether a read of the whole cache has finished, successfully or not. */
    private boolean cacheReadOnce;

    private boolean followingCacheEvents;
    private volatile boolean polling;

    private EngineMonitor(Engine engine, CacheIndex index, EventRing ring, long nowNanos) {
        this.engine = engine;
        this.index = index;
        this.ring = ring;
        this.nextPollNanos = nowNanos;
        this.nextCacheReadNanos = nowNanos;
        this.nextFollowNanos = nowNanos;
    }

    // -- construction

    static EngineMonitor of(Engine engine, CacheIndex index, EventRing ring, long nowNanos) {
        return new EngineMonitor(engine, index, ring, nowNanos);
    }

    // -- commands

    @Override
    public void tick(long nowNanos) {
        // If the index has observed a later incarnation since the last poll, the state is polled at once.
        boolean incarnationChanged = index.incarnation() != incarnationAtLastPoll;
        if (!polling && (incarnationChanged || nowNanos - nextPollNanos >= 0)) {
            pollState(nowNanos);
        }
        if (index.incarnation() != 0) {
            readCache(nowNanos);
            followCacheEvents(nowNanos);
        }
    }

    @Override
    public void cacheStreamEnded() {
        followingCacheEvents = false;
    }

    @Override
    public void cacheReadFinished() {
        readingCache = false;
        cacheReadOnce = true;
    }

    private void pollState(long nowNanos) {
        polling = true;
        incarnationAtLastPoll = index.incarnation();
        nextPollNanos = nowNanos + POLL_INTERVAL_NANOS;
        engine.state().whenComplete((state, failure) -> {
            BackendState observed = failure == null ? BackendState.of(state) : BackendState.down("");
            ring.offer(new SidecarEvent.BackendObserved(observed));
            polling = false;
        });
    }

    /**
     * Starts a read of the whole cache that repairs an incomplete index. The interval bounds the cost of a large cache.
     */
    private void readCache(long nowNanos) {
        if (readingCache || !index.isIncomplete() || nowNanos - nextCacheReadNanos < 0) {
            return;
        }
        readingCache = true;
        nextCacheReadNanos = nowNanos + CACHE_READ_INTERVAL_NANOS;
        engine.cacheSnapshot()
                .whenComplete((snapshot, failure) -> deliver(new SidecarEvent.CacheReadFinished(
                        failure == null ? Optional.of(snapshot) : Optional.empty())));
    }

    /**
     * Starts to follow the engine's cache events after the index's last one, unless they are followed already or the
     * interval since the last start has not passed. If the index is incomplete, a read of the whole cache must have
     * finished before.
     */
    private void followCacheEvents(long nowNanos) {
        if (followingCacheEvents || (index.isIncomplete() && !cacheReadOnce) || nowNanos - nextFollowNanos < 0) {
            return;
        }
        followingCacheEvents = true;
        nextFollowNanos = nowNanos + FOLLOW_INTERVAL_NANOS;
        engine.followCacheEvents(index.sequence(), event -> ring.offer(new SidecarEvent.CacheChanged(event)))
                .whenComplete((ignored, failure) -> deliver(new SidecarEvent.CacheStreamEnded()));
    }

    private void deliver(SidecarEvent event) {
        EventRings.offerUntilAccepted(ring, event);
    }
}

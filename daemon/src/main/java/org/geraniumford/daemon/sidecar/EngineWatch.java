package org.geraniumford.daemon.sidecar;

import java.time.Duration;
import java.util.Optional;
import org.geraniumford.core.cache.CacheIndex;
import org.geraniumford.transport.engine.Engine;

/** Keeps the engine's state and the index of its cache up to date. */
final class EngineWatch implements BackendWatch {
    private static final long POLL_NANOS = Duration.ofMillis(250).toNanos();
    private static final long READ_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long FOLLOW_NANOS = Duration.ofMillis(100).toNanos();

    private final Engine engine;
    private final CacheIndex index;
    private final EventRing ring;
    private long nextPollNanos;
    private long nextReadNanos;
    private long nextFollowNanos;
    private long polledIncarnation;
    private boolean reading;
    private boolean readOnce;
    private boolean following;
    private volatile boolean polling;

    private EngineWatch(Engine engine, CacheIndex index, EventRing ring, long nowNanos) {
        this.engine = engine;
        this.index = index;
        this.ring = ring;
        this.nextPollNanos = nowNanos;
        this.nextReadNanos = nowNanos;
        this.nextFollowNanos = nowNanos;
    }

    // -- construction

    static EngineWatch of(Engine engine, CacheIndex index, EventRing ring, long nowNanos) {
        return new EngineWatch(engine, index, ring, nowNanos);
    }

    // -- commands

    @Override
    public void tick(long nowNanos) {
        boolean unknownIncarnation = index.incarnation() != polledIncarnation;
        if (!polling && (unknownIncarnation || nowNanos - nextPollNanos >= 0)) {
            poll(nowNanos);
        }
        if (index.incarnation() != 0) {
            read(nowNanos);
            follow(nowNanos);
        }
    }

    @Override
    public void followEnded() {
        following = false;
    }

    @Override
    public void cacheRead() {
        reading = false;
        readOnce = true;
    }

    private void poll(long nowNanos) {
        polling = true;
        polledIncarnation = index.incarnation();
        nextPollNanos = nowNanos + POLL_NANOS;
        engine.state().whenComplete((state, failure) -> {
            BackendState seen = failure == null ? BackendState.of(state) : BackendState.down("");
            ring.offer(new SidecarEvent.BackendSeen(seen));
            polling = false;
        });
    }

    /** Repairs the index in the background, seldom enough that a large cache costs little. */
    private void read(long nowNanos) {
        if (reading || !index.incomplete() || nowNanos - nextReadNanos < 0) {
            return;
        }
        reading = true;
        nextReadNanos = nowNanos + READ_NANOS;
        engine.cache()
                .whenComplete((snapshot, failure) -> deliver(
                        new SidecarEvent.CacheRead(failure == null ? Optional.of(snapshot) : Optional.empty())));
    }

    private void follow(long nowNanos) {
        if (following || (index.incomplete() && !readOnce) || nowNanos - nextFollowNanos < 0) {
            return;
        }
        following = true;
        nextFollowNanos = nowNanos + FOLLOW_NANOS;
        engine.follow(index.sequence(), event -> ring.offer(new SidecarEvent.CacheChanged(event)))
                .whenComplete((done, failure) -> deliver(new SidecarEvent.FollowEnded()));
    }

    private void deliver(SidecarEvent event) {
        Delivery.untilTaken(ring, event);
    }
}

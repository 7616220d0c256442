package org.geraniumford.daemon.sidecar;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.geraniumford.core.cache.CacheCounts;
import org.geraniumford.transport.metrics.ReasonCounters;

/** The meters of one sidecar. */
final class SidecarMetrics {
    private final MeterRegistry registry;
    private final ReasonCounters reasons;
    private final Counter hitPieces;
    private final Counter missedPieces;
    private final Timer queueWait;
    private volatile CacheCounts cache = CacheCounts.ZERO;
    private volatile int waiting;
    private volatile int running;

    private SidecarMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.reasons = ReasonCounters.of(registry);
        this.hitPieces = registry.counter("geraniumford.pieces", "result", "hit");
        this.missedPieces = registry.counter("geraniumford.pieces", "result", "missed");
        this.queueWait = registry.timer("geraniumford.queue.wait");
    }

    // -- construction

    static SidecarMetrics of(MeterRegistry registry) {
        SidecarMetrics metrics = new SidecarMetrics(registry);
        metrics.gauge("geraniumford.requests.waiting", own -> own.waiting);
        metrics.gauge("geraniumford.requests.running", own -> own.running);
        metrics.gauge("geraniumford.cache.gaps", own -> own.cache.gaps());
        metrics.gauge("geraniumford.cache.lost.events", own -> own.cache.lostEvents());
        metrics.gauge("geraniumford.cache.voided.claims", own -> own.cache.voidedClaims());
        metrics.gauge("geraniumford.cache.wrong.claims", own -> own.cache.wrongClaims());
        metrics.gauge("geraniumford.cache.stale.events", own -> own.cache.staleEvents());
        metrics.gauge("geraniumford.cache.late.events", own -> own.cache.lateEvents());
        return metrics;
    }

    private void gauge(String name, ToDoubleFunction<SidecarMetrics> value) {
        Gauge.builder(name, this, value).register(registry);
    }

    // -- commands

    void pieces(int hit, int missed) {
        hitPieces.increment(hit);
        missedPieces.increment(missed);
    }

    void queueWait(long nanos) {
        queueWait.record(nanos, TimeUnit.NANOSECONDS);
    }

    void levels(CacheCounts counts, int nowWaiting, int nowRunning) {
        cache = counts;
        waiting = nowWaiting;
        running = nowRunning;
    }

    // -- queries

    ReasonCounters reasons() {
        return reasons;
    }
}

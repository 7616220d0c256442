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
    private final ReasonCounters reasonCounters;
    private final Counter hitBlocks;
    private final Counter missedBlocks;
    private final Timer recordQueueWait;
    private volatile CacheCounts cacheCounts = CacheCounts.ZERO;
    private volatile int waiting;
    private volatile int running;

    private SidecarMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.reasonCounters = ReasonCounters.of(registry);
        this.hitBlocks = registry.counter("geraniumford.pieces", "result", "hit");
        this.missedBlocks = registry.counter("geraniumford.pieces", "result", "missed");
        this.recordQueueWait = registry.timer("geraniumford.queue.wait");
    }

    // -- construction

    static SidecarMetrics of(MeterRegistry registry) {
        SidecarMetrics metrics = new SidecarMetrics(registry);
        metrics.gauge("geraniumford.requests.waiting", own -> own.waiting);
        metrics.gauge("geraniumford.requests.running", own -> own.running);
        metrics.gauge("geraniumford.cache.gaps", own -> own.cacheCounts.gaps());
        metrics.gauge("geraniumford.cache.lost.events", own -> own.cacheCounts.lostEvents());
        metrics.gauge("geraniumford.cache.voided.claims", own -> own.cacheCounts.voidedClaims());
        metrics.gauge("geraniumford.cache.wrong.claims", own -> own.cacheCounts.wrongClaims());
        metrics.gauge("geraniumford.cache.stale.events", own -> own.cacheCounts.staleEvents());
        metrics.gauge("geraniumford.cache.late.events", own -> own.cacheCounts.lateEvents());
        return metrics;
    }

    private void gauge(String name, ToDoubleFunction<SidecarMetrics> value) {
        Gauge.builder(name, this, value).register(registry);
    }

    // -- commands

    void recordBlocks(int hit, int missed) {
        hitBlocks.increment(hit);
        missedBlocks.increment(missed);
    }

    void recordQueueWait(long nanos) {
        recordQueueWait.record(nanos, TimeUnit.NANOSECONDS);
    }

    void updateGauges(CacheCounts counts, int nowWaiting, int nowRunning) {
        cacheCounts = counts;
        waiting = nowWaiting;
        running = nowRunning;
    }

    // -- queries

    ReasonCounters reasonCounters() {
        return reasonCounters;
    }
}

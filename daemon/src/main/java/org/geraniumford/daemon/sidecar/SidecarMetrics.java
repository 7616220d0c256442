package org.geraniumford.daemon.sidecar;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.geraniumford.core.cache.CacheCounts;
import org.geraniumford.transport.metrics.ReasonCounters;

/** The metrics of one sidecar. */
final class SidecarMetrics {
    private final MeterRegistry registry;
    private final ReasonCounters reasonCounters;
    private final Counter cachedBlocks;
    private final Counter uncachedBlocks;
    private final Timer queueWaitTimer;
    private volatile CacheCounts cacheCounts = CacheCounts.ZERO;
    private volatile int waiting;
    private volatile int running;

    private SidecarMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.reasonCounters = ReasonCounters.of(registry);
        this.cachedBlocks = registry.counter("geraniumford.pieces", "result", "hit");
        this.uncachedBlocks = registry.counter("geraniumford.pieces", "result", "missed");
        this.queueWaitTimer = registry.timer("geraniumford.queue.wait");
    }

    // -- construction

    static SidecarMetrics of(MeterRegistry registry) {
        SidecarMetrics metrics = new SidecarMetrics(registry);
        metrics.gauge("geraniumford.requests.waiting", self -> self.waiting);
        metrics.gauge("geraniumford.requests.running", self -> self.running);
        metrics.gauge("geraniumford.cache.gaps", self -> self.cacheCounts.gaps());
        metrics.gauge("geraniumford.cache.lost.events", self -> self.cacheCounts.lostEvents());
        metrics.gauge("geraniumford.cache.voided.claims", self -> self.cacheCounts.voidedClaims());
        metrics.gauge("geraniumford.cache.wrong.claims", self -> self.cacheCounts.wrongClaims());
        metrics.gauge("geraniumford.cache.stale.events", self -> self.cacheCounts.staleEvents());
        metrics.gauge("geraniumford.cache.late.events", self -> self.cacheCounts.lateEvents());
        return metrics;
    }

    private void gauge(String name, ToDoubleFunction<SidecarMetrics> value) {
        Gauge.builder(name, this, value).register(registry);
    }

    // -- commands

    /** Counts the blocks of a prompt that the engine found in its prefix cache and those that it must prefill. */
    void recordBlocks(int cached, int uncached) {
        cachedBlocks.increment(cached);
        uncachedBlocks.increment(uncached);
    }

    void recordQueueWait(long nanos) {
        queueWaitTimer.record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Sets the values of the gauges. {@code nowWaiting} and {@code nowRunning} are numbers of model requests. */
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

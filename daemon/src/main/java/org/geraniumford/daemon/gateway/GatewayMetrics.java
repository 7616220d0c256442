package org.geraniumford.daemon.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.DoubleSummaryStatistics;
import org.geraniumford.core.fleet.ServerLoad;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.metrics.ReasonCounters;

/** The counters and histograms of the gateway. */
public final class GatewayMetrics {
    /** The bounds of the histogram buckets double from this one while they are below the limit. */
    private static final Duration FIRST_BUCKET_BOUND = Duration.ofMillis(5);

    private static final Duration BUCKET_BOUND_LIMIT = Duration.ofSeconds(15);

    private final MeterRegistry registry;
    private final ReasonCounters reasons;
    private final Counter requests;
    private final Counter callerDisconnects;
    private final Timer firstByteTime;
    private final Timer responseTime;
    private final Timer oldWeightsAge;
    private final Counter speedChanges;
    /** The speeds of the slowest and the fastest engine in prompt tokens per ms; NaN while none is known. */
    private volatile double slowestPrefill = Double.NaN;

    private volatile double fastestPrefill = Double.NaN;

    private GatewayMetrics(MeterRegistry registry) {
        this.registry = registry;
        reasons = ReasonCounters.of(registry);
        requests = registry.counter("geraniumford.requests");
        callerDisconnects = registry.counter("geraniumford.callers.left");
        firstByteTime = histogram(registry, "geraniumford.answer.first");
        responseTime = histogram(registry, "geraniumford.answer.whole");
        oldWeightsAge = histogram(registry, "geraniumford.weights.age");
        speedChanges = registry.counter("geraniumford.speed.changes");
        Gauge.builder("geraniumford.speed.prefill", this, metrics -> metrics.slowestPrefill)
                .tag("engine", "slowest")
                .register(registry);
        Gauge.builder("geraniumford.speed.prefill", this, metrics -> metrics.fastestPrefill)
                .tag("engine", "fastest")
                .register(registry);
    }

    // -- construction

    /**
     * Registers the gateway's meters.
     *
     * @param registry the registry that holds the meters
     * @return the registered meters
     */
    public static GatewayMetrics of(MeterRegistry registry) {
        return new GatewayMetrics(registry);
    }

    private static Timer histogram(MeterRegistry registry, String name) {
        return Timer.builder(name).serviceLevelObjectives(bucketBounds()).register(registry);
    }

    private static Duration[] bucketBounds() {
        return java.util.stream.Stream.iterate(
                        FIRST_BUCKET_BOUND,
                        bound -> bound.compareTo(BUCKET_BOUND_LIMIT) < 0,
                        bound -> bound.multipliedBy(2))
                .toArray(Duration[]::new);
    }

    // -- commands

    /** Counts a request received from a caller. */
    public void countRequest() {
        requests.increment();
    }

    /** Counts a caller that disconnected before its response was complete. */
    public void countCallerDisconnect() {
        callerDisconnects.increment();
    }

    /**
     * Counts a request that the router refused, failed or cut off.
     *
     * @param reason the reason of the refusal or failure
     */
    public void countRefusal(Reason reason) {
        reasons.countRefusal(reason);
    }

    /**
     * Counts a request that was refused because the servers have no room for it.
     *
     * @param priority the priority of the request; numbers above the least urgent priority count as that
     */
    public void countOverloaded(int priority) {
        int level = Math.min(priority, ServerLoad.LEAST_URGENT);
        registry.counter("geraniumford.overloaded", "priority", String.valueOf(level))
                .increment();
    }

    /**
     * Counts a retry.
     *
     * @param reason why the preceding attempt failed
     */
    public void countRetry(Reason reason) {
        reasons.countRetry(reason);
    }

    /** Counts a large change of a server's estimated speed. */
    void countSpeedChange() {
        speedChanges.increment();
    }

    /** Records the speeds of all engines whose speed is known, in prompt tokens per ms. */
    void recordPrefillSpeeds(DoubleSummaryStatistics speeds) {
        slowestPrefill = speeds.getCount() == 0 ? Double.NaN : speeds.getMin();
        fastestPrefill = speeds.getCount() == 0 ? Double.NaN : speeds.getMax();
    }

    /**
     * Records the time to the first bytes of a stream.
     *
     * @param nanos the time since the request's header fields were read, in nanoseconds
     */
    public void recordFirstByteTime(long nanos) {
        firstByteTime.record(Duration.ofNanos(nanos));
    }

    /**
     * Records that a request began on weights that are not the newest.
     *
     * @param sinceReplaced how long ago the first newer version was published
     */
    public void recordOldWeightsAge(Duration sinceReplaced) {
        oldWeightsAge.record(sinceReplaced);
    }

    /**
     * Records the time to the end of a backend server's response; refusals and aborted streams are not recorded.
     *
     * @param nanos the time since the request's header fields were read, in nanoseconds
     */
    public void recordResponseTime(long nanos) {
        responseTime.record(Duration.ofNanos(nanos));
    }
}

package org.geraniumford.daemon.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.metrics.ReasonCounters;

/** The gateway's counters and histograms. */
public final class GatewayMetrics {
    private static final Duration FIRST_BUCKET = Duration.ofMillis(5);
    private static final Duration LAST_BUCKET = Duration.ofSeconds(15);

    private final ReasonCounters reasons;
    private final Counter requests;
    private final Counter callerDisconnects;
    private final Timer firstByte;
    private final Timer responseTime;

    private GatewayMetrics(MeterRegistry registry) {
        reasons = ReasonCounters.of(registry);
        requests = registry.counter("geraniumford.requests");
        callerDisconnects = registry.counter("geraniumford.callers.left");
        firstByte = histogram(registry, "geraniumford.answer.first");
        responseTime = histogram(registry, "geraniumford.answer.whole");
    }

    // -- construction

    /**
     * Registers the meters.
     *
     * @param registry where to
     * @return the meters
     */
    public static GatewayMetrics of(MeterRegistry registry) {
        return new GatewayMetrics(registry);
    }

    private static Timer histogram(MeterRegistry registry, String name) {
        return Timer.builder(name).serviceLevelObjectives(buckets()).register(registry);
    }

    private static Duration[] buckets() {
        return java.util.stream.Stream.iterate(
                        FIRST_BUCKET, bucket -> bucket.compareTo(LAST_BUCKET) < 0, bucket -> bucket.multipliedBy(2))
                .toArray(Duration[]::new);
    }

    // -- commands

    /** Counts a request that came in. */
    public void countRequest() {
        requests.increment();
    }

    /** Counts a caller that left before its answer was complete. */
    public void countCallerDisconnect() {
        callerDisconnects.increment();
    }

    /**
     * Counts a refusal or failure of the router's own.
     *
     * @param reason why
     */
    public void countRefusal(Reason reason) {
        reasons.countRefusal(reason);
    }

    /**
     * Counts a repeat.
     *
     * @param reason why the try before it failed
     */
    public void countRetry(Reason reason) {
        reasons.countRetry(reason);
    }

    /**
     * Records the time to the first bytes of an answer.
     *
     * @param nanos since the request's arrival
     */
    public void firstByte(long nanos) {
        firstByte.record(Duration.ofNanos(nanos));
    }

    /**
     * Records the time to the end of an answer.
     *
     * @param nanos since the request's arrival
     */
    public void recordResponseTime(long nanos) {
        responseTime.record(Duration.ofNanos(nanos));
    }
}

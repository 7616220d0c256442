package org.geraniumford.daemon.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.metrics.ReasonCounters;

/** The counters and histograms of the gateway. */
public final class GatewayMetrics {
    private static final Duration FIRST_BUCKET = Duration.ofMillis(5);
    private static final Duration LAST_BUCKET = Duration.ofSeconds(15);

    private final ReasonCounters reasons;
    private final Counter requests;
    private final Counter callerDisconnects;
    private final Timer firstByteTime;
    private final Timer responseTime;

    private GatewayMetrics(MeterRegistry registry) {
        reasons = ReasonCounters.of(registry);
        requests = registry.counter("geraniumford.requests");
        callerDisconnects = registry.counter("geraniumford.callers.left");
        firstByteTime = histogram(registry, "geraniumford.answer.first");
        responseTime = histogram(registry, "geraniumford.answer.whole");
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
        return Timer.builder(name).serviceLevelObjectives(buckets()).register(registry);
    }

    private static Duration[] buckets() {
        return java.util.stream.Stream.iterate(
                        FIRST_BUCKET, bucket -> bucket.compareTo(LAST_BUCKET) < 0, bucket -> bucket.multipliedBy(2))
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
     * Counts a refusal or failure that the router itself sent to a caller.
     *
     * @param reason the reason for it
     */
    public void countRefusal(Reason reason) {
        reasons.countRefusal(reason);
    }

    /**
     * Counts a retry.
     *
     * @param reason why the preceding attempt failed
     */
    public void countRetry(Reason reason) {
        reasons.countRetry(reason);
    }

    /**
     * Records the time to the first bytes of a response.
     *
     * @param nanos since the request's arrival
     */
    public void recordFirstByteTime(long nanos) {
        firstByteTime.record(Duration.ofNanos(nanos));
    }

    /**
     * Records the time to the end of a response.
     *
     * @param nanos since the request's arrival
     */
    public void recordResponseTime(long nanos) {
        responseTime.record(Duration.ofNanos(nanos));
    }
}

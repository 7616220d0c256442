package org.geraniumford.daemon.process;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.worker.SlicedExecutor;

/**
 * Measures how far a network thread is behind: how late its regular tick is, and how long callers' requests waited
 * after they had been read. Logs each second in which either exceeds 50 ms. Used on the network thread only.
 */
public final class ThreadLagReport {
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MIN_REPORTED_LAG = Duration.ofMillis(50);

    private final SlicedExecutor work;
    private final Duration tickInterval;
    private final Timer tickLag;
    private final Timer requestWait;
    private long lastTickNanos = System.nanoTime();
    private long lastReportNanos = lastTickNanos;
    private Duration longestTickLag = Duration.ZERO;

    private ThreadLagReport(SlicedExecutor work, Duration tickInterval, MeterRegistry registry) {
        this.work = work;
        this.tickInterval = tickInterval;
        this.tickLag = registry.timer("geraniumford.thread.lag");
        this.requestWait = registry.timer("geraniumford.request.wait");
    }

    // -- construction

    /**
     * Creates a report.
     *
     * @param work runs callers' requests
     * @param tickInterval the time between two calls of {@link #tick} on a thread that is not behind
     * @param registry the registry of the two timers
     * @return a new report
     */
    public static ThreadLagReport of(SlicedExecutor work, Duration tickInterval, MeterRegistry registry) {
        return new ThreadLagReport(
                requireNonNull(work, "work is null"),
                requireNonNull(tickInterval, "tickInterval is null"),
                requireNonNull(registry, "registry is null"));
    }

    // -- commands

    /**
     * Measures the time since the call before this one.
     *
     * @param nowNanos the time of the call, in nanoseconds of {@link System#nanoTime}
     */
    public void tick(long nowNanos) {
        Duration lag = Duration.ofNanos(Math.max(0, nowNanos - lastTickNanos - tickInterval.toNanos()));
        lastTickNanos = nowNanos;
        tickLag.record(lag);
        longestTickLag = longestTickLag.compareTo(lag) < 0 ? lag : longestTickLag;
        if (nowNanos - lastReportNanos >= REPORT_INTERVAL.toNanos()) {
            lastReportNanos = nowNanos;
            report(work.takeLongestWait());
            longestTickLag = Duration.ZERO;
        }
    }

    private void report(Duration longestWait) {
        requestWait.record(longestWait);
        if (longestTickLag.compareTo(MIN_REPORTED_LAG) > 0 || longestWait.compareTo(MIN_REPORTED_LAG) > 0) {
            LogEvent.of("thread_behind")
                    .with("tick_late_ms", longestTickLag.toMillis())
                    .with("request_waited_ms", longestWait.toMillis())
                    .with("tasks", work.size())
                    .info();
        }
    }
}

package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.quarantine.PromptUse;
import org.geraniumford.core.quarantine.QuarantineDecision;
import org.geraniumford.core.quarantine.QuarantineListener;
import org.geraniumford.core.quarantine.RequestKeys;
import org.geraniumford.core.quarantine.SegmentKeys;
import org.geraniumford.core.quarantine.SegmentQuarantine;
import org.geraniumford.transport.log.LogEvent;

/**
 * The quarantine of requests and prompt segments with the log and the counters of what it does. Used only on the
 * network thread.
 */
public final class PromptQuarantine implements QuarantineListener {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SegmentQuarantine segments;
    private final Counter ends;
    private final Counter holds;
    private final Counter trials;
    private final Counter releases;
    private Runnable changeListener = () -> {};

    private PromptQuarantine(String host, MeterRegistry registry) {
        segments = SegmentQuarantine.empty(host, this);
        ends = registry.counter("geraniumford.engine.ends");
        holds = registry.counter("geraniumford.segment.holds");
        trials = registry.counter("geraniumford.segment.trials");
        releases = registry.counter("geraniumford.segment.releases");
    }

    // -- construction

    /**
     * Creates a quarantine without segments.
     *
     * @param host the name of this host
     * @param registry the registry of the counters
     * @return an empty quarantine
     */
    public static PromptQuarantine of(String host, MeterRegistry registry) {
        return new PromptQuarantine(requireNonNull(host, "host is null"), requireNonNull(registry, "registry is null"));
    }

    // -- queries

    /**
     * Returns the segments, which entries announce to each other.
     *
     * @return the segments, which change over time
     */
    public SegmentQuarantine segments() {
        return segments;
    }

    /** Decides whether an attempt may begin now. */
    QuarantineDecision decide(SuspectRequest request) {
        return segments.decide(keys(request), System.nanoTime());
    }

    /** Returns the keys of a request, with its own only if something is suspect, since that takes reading the body. */
    private RequestKeys keys(SuspectRequest request) {
        return segments.isEmpty() ? RequestKeys.ofSegments(request.segments()) : request.keys();
    }

    // -- commands

    /**
     * Sets the listener for changes that are to be announced to the peers at once.
     *
     * @param listener called after each change
     */
    public void onChanged(Runnable listener) {
        changeListener = requireNonNull(listener, "listener is null");
    }

    /** Records that an attempt begins. */
    PromptUse begin(String requestId, SuspectRequest request) {
        PromptUse use = segments.begin(keys(request), System.nanoTime());
        if (!use.tried().isEmpty()) {
            trials.increment();
            LogEvent.of("segment_trial")
                    .with("request", requestId)
                    .with("segments", text(use.tried()))
                    .info();
        }
        return use;
    }

    void recordFirstEvent(PromptUse use) {
        segments.recordFirstEvent(use, System.nanoTime());
    }

    /** Records that a server ended under an attempt before its first whole event or its whole response. */
    void recordEngineEnd(
            String requestId, SuspectRequest request, PromptUse begun, BackendServer server, long sentNanos) {
        long nowNanos = System.nanoTime();
        PromptUse use = begun.withRequest(request.key());
        ends.increment();
        LogEvent.of("engine_ended")
                .with("request", requestId)
                .with("server", server.id())
                .with("sent_ms", (nowNanos - sentNanos) / NANOS_PER_MILLI)
                .with("key", Long.toHexString(request.key()))
                .with("segments", text(use.keys().segments()))
                .with("trial", text(use.tried()))
                .info();
        segments.recordEngineEnd(use, SegmentKeys.server(server.id(), server.incarnation()), nowNanos);
    }

    void release(PromptUse use) {
        segments.release(use);
    }

    private static String text(List<Long> segmentKeys) {
        return segmentKeys.stream().map(Long::toHexString).collect(Collectors.joining(","));
    }

    // -- events

    @Override
    public void changed() {
        changeListener.run();
    }

    @Override
    public void held(long segment, int count, Duration hold) {
        holds.increment();
        LogEvent.of("segment_held")
                .with("segment", Long.toHexString(segment))
                .with("ends", count)
                .with("hold_ms", hold.toMillis())
                .info();
    }

    @Override
    public void released(long segment) {
        releases.increment();
        LogEvent.of("segment_released")
                .with("segment", Long.toHexString(segment))
                .info();
    }
}

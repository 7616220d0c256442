package org.geraniumford.daemon.entry;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.stream.Placement;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.metrics.ReasonCounters;

/** Records the metrics of an entry. Thread-safe. */
final class EntryMetrics {
    private static final int MAX_CLASS_LABELS = 32;
    private static final String OTHER_CLASS = "other";

    private final MeterRegistry registry;
    private final ReasonCounters reasonCounters;
    private final Counter lostProbes;
    private final Timer overheadTimer;
    private final Map<Placement, Counter> droppedFrames = new EnumMap<>(Placement.class);
    private final Set<String> knownClasses = ConcurrentHashMap.newKeySet();

    private EntryMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.reasonCounters = ReasonCounters.of(registry);
        this.lostProbes = registry.counter("geraniumford.probes.lost");
        this.overheadTimer = Timer.builder("geraniumford.entry.overhead")
                .publishPercentiles(0.5, 0.99)
                .register(registry);
        Arrays.stream(Placement.values())
                .forEach(placement -> droppedFrames.put(
                        placement,
                        registry.counter(
                                "geraniumford.frames.dropped",
                                "placement",
                                placement.name().toLowerCase(Locale.ROOT))));
    }

    // -- construction

    static EntryMetrics of(MeterRegistry registry) {
        return new EntryMetrics(registry);
    }

    // -- commands

    /** Counts a refusal that was sent to a caller or a request that was abandoned. */
    void recordRefusal(Reason reason) {
        reasonCounters.countRefusal(reason);
    }

    /** Counts a retry by the reason for which the attempt before it failed. */
    void recordRetry(Reason reason) {
        reasonCounters.countRetry(reason);
    }

    /** Counts a probe without a response in time. */
    void recordLostProbe() {
        lostProbes.increment();
    }

    /** Counts a frame that was dropped because of its place in the stream. */
    void recordDroppedFrame(Placement placement) {
        droppedFrames.get(placement).increment();
    }

    /**
     * Records the time from accepting a request until its first actions have been executed, in nanoseconds. They are
     * probes, a submit, or a refusal if no engine is available.
     */
    void recordOverhead(long nanos) {
        overheadTimer.record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Records the time from accepting a request until its first token is delivered, in nanoseconds. */
    void recordFirstToken(String priorityClass, long nanos) {
        Timer.builder("geraniumford.first.token")
                .tag("class", boundedLabel(priorityClass))
                .publishPercentiles(0.5, 0.95, 0.99)
                .distributionStatisticExpiry(Duration.ofMinutes(1))
                .register(registry)
                .record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts the blocks of a prompt that an engine found in its prefix cache and those that it must prefill. */
    void recordBlocks(String priorityClass, int cachedBlocks, int uncachedBlocks) {
        String label = boundedLabel(priorityClass);
        registry.counter("geraniumford.pieces.hit", "class", label).increment(cachedBlocks);
        registry.counter("geraniumford.pieces.missed", "class", label).increment(uncachedBlocks);
    }

    /**
     * Returns the label value of a priority class. Classes after the first 32 share one value, so that the number of
     * time series stays bounded however often the configuration changes.
     */
    private String boundedLabel(String name) {
        boolean hasOwnLabel =
                knownClasses.contains(name) || (knownClasses.size() < MAX_CLASS_LABELS && knownClasses.add(name));
        // If another thread added the name in the meantime, add returned false although the class has its own label.
        return hasOwnLabel || knownClasses.contains(name) ? name : OTHER_CLASS;
    }
}

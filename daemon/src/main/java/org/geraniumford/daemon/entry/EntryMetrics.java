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

/** What an entry measures. Thread-safe. */
final class EntryMetrics {
    private static final int MAX_CLASS_LABELS = 32;
    private static final String OTHER_CLASS = "other";

    private final MeterRegistry registry;
    private final ReasonCounters reasonCounters;
    private final Counter probesLost;
    private final Timer recordOverhead;
    private final Map<Placement, Counter> recordDroppedFrame = new EnumMap<>(Placement.class);
    private final Set<String> knownClasses = ConcurrentHashMap.newKeySet();

    private EntryMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.reasonCounters = ReasonCounters.of(registry);
        this.probesLost = registry.counter("geraniumford.probes.lost");
        this.recordOverhead = Timer.builder("geraniumford.entry.overhead")
                .publishPercentiles(0.5, 0.99)
                .register(registry);
        Arrays.stream(Placement.values())
                .forEach(placement -> recordDroppedFrame.put(
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

    void recordRefusal(Reason reason) {
        reasonCounters.countRefusal(reason);
    }

    void recordRetry(Reason reason) {
        reasonCounters.countRetry(reason);
    }

    void recordLostProbe() {
        probesLost.increment();
    }

    void recordDroppedFrame(Placement placement) {
        recordDroppedFrame.get(placement).increment();
    }

    /** Records the time from accepting a request until its first probe or submit is written. */
    void recordOverhead(long nanos) {
        recordOverhead.record(nanos, TimeUnit.NANOSECONDS);
    }

    void recordFirstToken(String priorityClass, long nanos) {
        Timer.builder("geraniumford.first.token")
                .tag("class", boundedLabel(priorityClass))
                .publishPercentiles(0.5, 0.95, 0.99)
                .distributionStatisticExpiry(Duration.ofMinutes(1))
                .register(registry)
                .record(nanos, TimeUnit.NANOSECONDS);
    }

    void recordBlocks(String priorityClass, int hit, int missed) {
        String label = boundedLabel(priorityClass);
        registry.counter("geraniumford.pieces.hit", "class", label).increment(hit);
        registry.counter("geraniumford.pieces.missed", "class", label).increment(missed);
    }

    /** Keeps the number of label values bounded, however often the configuration changes. */
    private String boundedLabel(String name) {
        boolean known =
                knownClasses.contains(name) || (knownClasses.size() < MAX_CLASS_LABELS && knownClasses.add(name));
        return known || knownClasses.contains(name) ? name : OTHER_CLASS;
    }
}

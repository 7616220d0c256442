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
    private static final int MAX_CLASSES = 32;
    private static final String OTHER = "other";

    private final MeterRegistry registry;
    private final ReasonCounters reasons;
    private final Counter probesLost;
    private final Timer accepted;
    private final Map<Placement, Counter> dropped = new EnumMap<>(Placement.class);
    private final Set<String> classes = ConcurrentHashMap.newKeySet();

    private EntryMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.reasons = ReasonCounters.of(registry);
        this.probesLost = registry.counter("geraniumford.probes.lost");
        this.accepted = Timer.builder("geraniumford.entry.overhead")
                .publishPercentiles(0.5, 0.99)
                .register(registry);
        Arrays.stream(Placement.values())
                .forEach(placement -> dropped.put(
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

    void refused(Reason reason) {
        reasons.refused(reason);
    }

    void retried(Reason reason) {
        reasons.retried(reason);
    }

    void probeLost() {
        probesLost.increment();
    }

    void dropped(Placement placement) {
        dropped.get(placement).increment();
    }

    /** Records the time from accepting a request until its first probe or submit is written. */
    void accepted(long nanos) {
        accepted.record(nanos, TimeUnit.NANOSECONDS);
    }

    void firstToken(String priorityClass, long nanos) {
        Timer.builder("geraniumford.first.token")
                .tag("class", bounded(priorityClass))
                .publishPercentiles(0.5, 0.95, 0.99)
                .distributionStatisticExpiry(Duration.ofMinutes(1))
                .register(registry)
                .record(nanos, TimeUnit.NANOSECONDS);
    }

    void pieces(String priorityClass, int hit, int missed) {
        String label = bounded(priorityClass);
        registry.counter("geraniumford.pieces.hit", "class", label).increment(hit);
        registry.counter("geraniumford.pieces.missed", "class", label).increment(missed);
    }

    /** Keeps the number of label values bounded, however often the configuration changes. */
    private String bounded(String name) {
        boolean known = classes.contains(name) || (classes.size() < MAX_CLASSES && classes.add(name));
        return known || classes.contains(name) ? name : OTHER;
    }
}

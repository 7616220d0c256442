package org.geraniumford.transport.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.geraniumford.core.verdict.Reason;

/** Counters of refusals and of retries, one for each reason. All are registered at the start with the value 0. */
public final class ReasonCounters {
    /** The name of the counters of refusals; the label {@code reason} holds the reason. */
    public static final String REFUSALS = "geraniumford.refusals";

    /** The name of the counters of retries; the label {@code reason} holds the reason. */
    public static final String RETRIES = "geraniumford.retries";

    private final Map<Reason, Counter> refusals;
    private final Map<Reason, Counter> retries;

    private ReasonCounters(Map<Reason, Counter> refusals, Map<Reason, Counter> retries) {
        this.refusals = refusals;
        this.retries = retries;
    }

    // -- construction

    /**
     * Registers the counters.
     *
     * @param registry the registry of the counters
     * @return the counters
     */
    public static ReasonCounters of(MeterRegistry registry) {
        return new ReasonCounters(register(registry, REFUSALS), register(registry, RETRIES));
    }

    private static Map<Reason, Counter> register(MeterRegistry registry, String name) {
        return Arrays.stream(Reason.values())
                .collect(Collectors.toUnmodifiableMap(
                        Function.identity(), reason -> registry.counter(name, "reason", reason.label())));
    }

    // -- commands

    /**
     * Counts a refusal.
     *
     * @param reason the reason of the refusal
     */
    public void countRefusal(Reason reason) {
        refusals.get(reason).increment();
    }

    /**
     * Counts a retry.
     *
     * @param reason the reason for which the previous attempt failed
     */
    public void countRetry(Reason reason) {
        retries.get(reason).increment();
    }
}

package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.IntSupplier;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.verdict.Refusal;

/**
 * What one entry admits of each customer, within the customer's limits over all entries. It admits by the share that
 * the customer's home gave it, reports what it admitted, and falls back to an equal share while the home does not
 * answer. Thread-safe.
 */
public final class CustomerLimits {
    private final String entry;
    private final IntSupplier entries;
    private final ConcurrentMap<String, LocalLimit> limits = new ConcurrentHashMap<>();

    private CustomerLimits(String entry, IntSupplier entries) {
        this.entry = entry;
        this.entries = entries;
    }

    // -- construction

    /**
     * Creates the limits of an entry.
     *
     * @param entry the entry's name
     * @param entries supplies the number of entries, at least 1
     * @return limits without customers
     */
    public static CustomerLimits of(String entry, IntSupplier entries) {
        return new CustomerLimits(requireNonNull(entry, "entry is null"), requireNonNull(entries, "entries is null"));
    }

    // -- commands

    /**
     * Admits a request, or says why not. A request admitted must be followed by {@link #finished}.
     *
     * @param customer whose request it is
     * @param estimatedTokens the tokens of the prompt and of the longest answer
     * @param nowMicros the time in microseconds, of any fixed origin
     * @return empty if admitted; otherwise the refusal, with the time to come back
     */
    public Optional<Refusal> admit(Customer customer, long estimatedTokens, long nowMicros) {
        if (unlimited(customer)) {
            return Optional.empty();
        }
        return limits.computeIfAbsent(customer.name(), name -> new LocalLimit(customer, nowMicros))
                .admit(customer, estimatedTokens, entries.getAsInt(), nowMicros);
    }

    /**
     * Ends a request that was admitted.
     *
     * @param customer whose request it was
     * @param extraTokens the tokens used less those estimated; may be negative
     */
    public void finished(Customer customer, long extraTokens) {
        Optional.ofNullable(limits.get(customer.name())).ifPresent(limit -> limit.finished(extraTokens));
    }

    /**
     * Takes what a home granted.
     *
     * @param share the share
     * @param nowMicros the time in microseconds, of the same origin
     */
    public void granted(LimitShare share, long nowMicros) {
        Optional.ofNullable(limits.get(share.customer())).ifPresent(limit -> limit.granted(share, nowMicros));
    }

    /**
     * Takes the reports that are due, and forgets customers without traffic.
     *
     * @param nowMicros the time in microseconds, of the same origin
     * @return reports to send to the homes of their customers
     */
    public List<LimitUsage> due(long nowMicros) {
        limits.values().removeIf(limit -> limit.idle(nowMicros));
        return limits.entrySet().stream()
                .flatMap(limit -> limit.getValue().report(limit.getKey(), entry, nowMicros).stream())
                .toList();
    }

    /**
     * Takes back a report that could not be sent; it becomes part of the next one.
     *
     * @param usage the report
     */
    public void unsent(LimitUsage usage) {
        Optional.ofNullable(limits.get(usage.customer())).ifPresent(limit -> limit.unsent(usage));
    }

    // -- queries

    /**
     * Returns the share that holds for a customer now.
     *
     * @param customer the customer's name
     * @param nowMicros the time in microseconds, of the same origin
     * @return the share, or empty while an equal share of the limit holds
     */
    public Optional<LimitShare> share(String customer, long nowMicros) {
        return Optional.ofNullable(limits.get(customer)).flatMap(limit -> limit.share(nowMicros));
    }

    private static boolean unlimited(Customer customer) {
        return customer.requestsPerSecond() == 0 && customer.tokensPerSecond() == 0 && customer.maxStreams() == 0;
    }
}

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
public final class CustomerLimiter {
    private final String entry;
    private final IntSupplier entryCount;
    private final ConcurrentMap<String, LocalLimiter> limiters = new ConcurrentHashMap<>();

    private CustomerLimiter(String entry, IntSupplier entries) {
        this.entry = entry;
        this.entryCount = entries;
    }

    // -- construction

    /**
     * Creates the limits of an entry.
     *
     * @param entry the entry's name
     * @param entries supplies the number of entries, at least 1
     * @return limits without customers
     */
    public static CustomerLimiter of(String entry, IntSupplier entries) {
        return new CustomerLimiter(requireNonNull(entry, "entry is null"), requireNonNull(entries, "entries is null"));
    }

    // -- commands

    /**
     * Admits a request, or says why not. A request admitted must be followed by {@link #release}.
     *
     * @param customer whose request it is
     * @param estimatedTokens the tokens of the prompt and of the longest answer
     * @param nowMicros the time in microseconds, of any fixed origin
     * @return empty if admitted; otherwise the refusal, with the time to come back
     */
    public Optional<Refusal> admit(Customer customer, long estimatedTokens, long nowMicros) {
        if (isUnlimited(customer)) {
            return Optional.empty();
        }
        return limiters.computeIfAbsent(customer.name(), name -> new LocalLimiter(customer, nowMicros))
                .admit(customer, estimatedTokens, entryCount.getAsInt(), nowMicros);
    }

    /**
     * Ends a request that was admitted.
     *
     * @param customer whose request it was
     * @param extraTokens the tokens used less those estimated; may be negative
     */
    public void release(Customer customer, long extraTokens) {
        Optional.ofNullable(limiters.get(customer.name())).ifPresent(limit -> limit.release(extraTokens));
    }

    /**
     * Takes what a home granted.
     *
     * @param share the share
     * @param nowMicros the time in microseconds, of the same origin
     */
    public void applyShare(LimitShare share, long nowMicros) {
        Optional.ofNullable(limiters.get(share.customer())).ifPresent(limit -> limit.applyShare(share, nowMicros));
    }

    /**
     * Takes the reports that are due, and forgets customers without traffic.
     *
     * @param nowMicros the time in microseconds, of the same origin
     * @return reports to send to the homes of their customers
     */
    public List<LimitUsage> takeDueReports(long nowMicros) {
        limiters.values().removeIf(limit -> limit.isIdle(nowMicros));
        return limiters.entrySet().stream()
                .flatMap(limit -> limit.getValue().takeReport(limit.getKey(), entry, nowMicros).stream())
                .toList();
    }

    /**
     * Takes back a report that could not be sent; it becomes part of the next one.
     *
     * @param usage the report
     */
    public void restoreReport(LimitUsage usage) {
        Optional.ofNullable(limiters.get(usage.customer())).ifPresent(limit -> limit.restoreReport(usage));
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
        return Optional.ofNullable(limiters.get(customer)).flatMap(limit -> limit.share(nowMicros));
    }

    private static boolean isUnlimited(Customer customer) {
        return customer.requestsPerSecond() == 0 && customer.tokensPerSecond() == 0 && customer.maxStreams() == 0;
    }
}

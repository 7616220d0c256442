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
 * Limits the requests that one entry admits of each customer, so that the customer's limits hold over all entries. The
 * entry admits by the share that the customer's owner granted, reports its usage to the owner, and falls back to an
 * equal share of the limit while the owner does not respond. Thread-safe.
 */
public final class CustomerLimiter {
    private final String entry;
    private final IntSupplier entryCount;
    private final ConcurrentMap<String, LocalLimiter> limiters = new ConcurrentHashMap<>();

    private CustomerLimiter(String entry, IntSupplier entryCount) {
        this.entry = entry;
        this.entryCount = entryCount;
    }

    // -- construction

    /**
     * Creates the limiter of an entry.
     *
     * @param entry the entry's name
     * @param entryCount supplies the number of entries, at least 1
     * @return a limiter without customers
     */
    public static CustomerLimiter of(String entry, IntSupplier entryCount) {
        return new CustomerLimiter(
                requireNonNull(entry, "entry is null"), requireNonNull(entryCount, "entryCount is null"));
    }

    // -- commands

    /**
     * Admits a request or refuses it. An admitted request must be followed by {@link #release}.
     *
     * @param customer the customer of the request
     * @param estimatedTokens the tokens of the prompt plus the maximum number of output tokens; 0 for a call of a plain
     *     service
     * @param nowMicros the current time, in microseconds since any fixed origin
     * @return empty if admitted; otherwise the refusal with its retry-after delay
     */
    public Optional<Refusal> admit(Customer customer, long estimatedTokens, long nowMicros) {
        if (isUnlimited(customer)) {
            return Optional.empty();
        }
        return limiters.computeIfAbsent(customer.name(), name -> new LocalLimiter(customer, nowMicros))
                .admit(customer, estimatedTokens, entryCount.getAsInt(), nowMicros);
    }

    /**
     * Ends an admitted request.
     *
     * @param customer the customer of the request
     * @param extraTokens the tokens used minus the tokens estimated; may be negative
     */
    public void release(Customer customer, long extraTokens) {
        Optional.ofNullable(limiters.get(customer.name())).ifPresent(limiter -> limiter.release(extraTokens));
    }

    /**
     * Applies the share that an owner granted. Does nothing if this entry has had no recent request of the customer.
     *
     * @param share the share
     * @param nowMicros the current time, in microseconds since the same origin
     */
    public void applyShare(LimitShare share, long nowMicros) {
        Optional.ofNullable(limiters.get(share.customer())).ifPresent(limiter -> limiter.applyShare(share, nowMicros));
    }

    /**
     * Returns the reports that are due, resets their counters, and removes customers without traffic.
     *
     * @param nowMicros the current time, in microseconds since the same origin
     * @return the reports to send to the owners of their customers
     */
    public List<LimitUsage> takeDueReports(long nowMicros) {
        limiters.values().removeIf(limiter -> limiter.isIdle(nowMicros));
        return limiters.entrySet().stream()
                .flatMap(limiterByName ->
                        limiterByName.getValue().takeReport(limiterByName.getKey(), entry, nowMicros).stream())
                .toList();
    }

    /**
     * Restores a report that could not be sent, so that it becomes part of the next one.
     *
     * @param usage the report
     */
    public void restoreReport(LimitUsage usage) {
        Optional.ofNullable(limiters.get(usage.customer())).ifPresent(limiter -> limiter.restoreReport(usage));
    }

    // -- queries

    /**
     * Returns the share that is valid for a customer now.
     *
     * @param customer the customer's name
     * @param nowMicros the current time, in microseconds since the same origin
     * @return the granted share, or empty while an equal share of the limit applies
     */
    public Optional<LimitShare> share(String customer, long nowMicros) {
        return Optional.ofNullable(limiters.get(customer)).flatMap(limiter -> limiter.share(nowMicros));
    }

    private static boolean isUnlimited(Customer customer) {
        return customer.requestsPerSecond() == 0 && customer.tokensPerSecond() == 0 && customer.maxStreams() == 0;
    }
}

package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.geraniumford.core.limits.CustomerAccounts;
import org.geraniumford.core.limits.CustomerUse;
import org.geraniumford.core.limits.QuotaTolerance;
import org.geraniumford.core.service.ApiCustomer;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.transport.log.LogEvent;

/**
 * The limits of customers over all entries: the admission of requests, and its log. Used only on the network thread.
 */
public final class CustomerLimits {
    /** The refusals of a customer are logged at most this often, with their number. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(5);

    private final CustomerAccounts accounts;
    private final Map<String, Refusals> refusals = new HashMap<>();

    /** The refusals of one customer since they were last logged. */
    private static final class Refusals {
        private long loggedNanos;
        private long count;
        private long cost;

        Refusals(long nowNanos) {
            loggedNanos = nowNanos - LOG_INTERVAL.toNanos();
        }
    }

    private CustomerLimits(CustomerAccounts accounts) {
        this.accounts = accounts;
    }

    // -- construction

    static CustomerLimits of(QuotaTolerance tolerance) {
        return new CustomerLimits(CustomerAccounts.empty(
                requireNonNull(tolerance, "tolerance is null"), new Random(), System.nanoTime()));
    }

    // -- queries

    /**
     * Returns the accounts of the customers with a limit.
     *
     * @return the accounts, which change over time
     */
    public CustomerAccounts accounts() {
        return accounts;
    }

    // -- commands

    void applyConfiguration(List<ApiCustomer> customers) {
        accounts.applyConfiguration(customers, System.nanoTime());
        refusals.clear();
    }

    /** Returns what the attempts of a request are charged to. */
    CustomerCharge charge(AdmittedRequest admitted) {
        return admitted.customer()
                .flatMap(customer -> customer.quota()
                        .map(quota -> CustomerCharge.of(
                                accounts,
                                customer.name(),
                                quota.cost(admitted.request().prompt()))))
                .orElse(CustomerCharge.NONE);
    }

    /** Refuses a request if its customer has used what its limit allows. */
    Optional<Refusal> refuse(AdmittedRequest admitted) {
        return admitted.customer()
                .flatMap(customer -> customer.quota()
                        .flatMap(quota -> refuse(
                                customer.name(), quota.cost(admitted.request().prompt()), admitted.priority())));
    }

    private Optional<Refusal> refuse(String customer, long cost, int priority) {
        long nowNanos = System.nanoTime();
        Duration wait = accounts.admit(customer, cost, priority, nowNanos);
        if (wait.isZero()) {
            return Optional.empty();
        }
        logRefusal(customer, cost, wait, nowNanos);
        return Optional.of(Refusal.notRun(Reason.CUSTOMER_LIMIT_REACHED, "the customer's limit")
                .withRetryAfter(wait));
    }

    private void logRefusal(String customer, long cost, Duration wait, long nowNanos) {
        Refusals refused = refusals.computeIfAbsent(customer, name -> new Refusals(nowNanos));
        refused.count++;
        refused.cost += cost;
        if (nowNanos - refused.loggedNanos >= LOG_INTERVAL.toNanos()) {
            LogEvent.of("customer_limit")
                    .with("customer", LogEvent.limited(customer))
                    .with("refused", refused.count)
                    .with("refused_units", refused.cost)
                    .with(
                            "balance",
                            Math.round(accounts.balance(customer, nowNanos).orElse(0.0)))
                    .with("retry_ms", wait.toMillis())
                    .info();
            refusals.put(customer, new Refusals(nowNanos + LOG_INTERVAL.toNanos()));
        }
    }

    /**
     * Applies a message of a peer, also one that announces no customer.
     *
     * @param peer the name of the peer's host
     * @param incarnation a number that differs after a restart of the peer
     * @param told what the peer announces
     */
    public void applyGossip(String peer, long incarnation, List<CustomerUse> told) {
        accounts.applyGossip(peer, incarnation, told, System.nanoTime());
    }
}

package org.geraniumford.daemon.gateway;

import java.util.Optional;
import org.geraniumford.core.limits.CustomerAccounts;
import org.geraniumford.core.verdict.Verdict;

/** What the attempts of one request count in its customer's limit: each one that is started, unless it was not run. */
final class CustomerCharge {
    /** The charge of a request whose customer has no limit. */
    static final CustomerCharge NONE = new CustomerCharge(Optional.empty(), "", 0);

    private final Optional<CustomerAccounts> accounts;
    private final String customer;
    private final long cost;

    private CustomerCharge(Optional<CustomerAccounts> accounts, String customer, long cost) {
        this.accounts = accounts;
        this.customer = customer;
        this.cost = cost;
    }

    // -- construction

    static CustomerCharge of(CustomerAccounts accounts, String customer, long cost) {
        return new CustomerCharge(Optional.of(accounts), customer, cost);
    }

    // -- queries

    /** Returns whether another attempt may follow one that ended with a verdict. */
    boolean allowsRetry(Verdict verdict) {
        return verdict == Verdict.NOT_RUN
                || accounts.map(found -> found.allowsRetry(customer, System.nanoTime()))
                        .orElse(true);
    }

    // -- commands

    void startAttempt() {
        accounts.ifPresent(found -> found.use(customer, cost, System.nanoTime()));
    }

    void endAttempt(Verdict verdict) {
        if (verdict == Verdict.NOT_RUN) {
            accounts.ifPresent(found -> found.refund(customer, cost, System.nanoTime()));
        }
    }
}

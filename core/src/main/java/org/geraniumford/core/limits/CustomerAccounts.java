package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.geraniumford.core.service.ApiCustomer;

/**
 * The accounts of all customers with a limit, as one entry keeps them. Each entry debits its own requests at once and
 * those of its peers when they announce them; an entry that does not hear all others uses only the part of each limit
 * that belongs to those it hears. Customers without a limit have no account. Not thread-safe; times are from
 * {@link System#nanoTime}.
 */
public final class CustomerAccounts {
    /** A use is part of complete messages for this long, so that a peer that missed it learns of it. */
    private static final Duration REPETITION_TIME = Duration.ofSeconds(10);

    /** What a message announces. */
    public enum Extent {
        /** The customers whose use changed since the last announcement. */
        CHANGES,
        /** Also those that were used recently or have not their whole burst left, for peers that missed a message. */
        RECENT,
        /** All, for peers that know nothing yet. */
        ALL;

        /**
         * Returns what a message announces.
         *
         * @param complete whether the receivers may have missed earlier messages
         * @param allInformed whether every peer had a complete message before
         * @return the least extent that suffices
         */
        public static Extent of(boolean complete, boolean allInformed) {
            if (!complete) {
                return CHANGES;
            }
            return allInformed ? RECENT : ALL;
        }
    }

    /** Until this long after a use, peers that are silent are to be noticed soon. */
    private static final Duration USE_TIME = Duration.ofSeconds(1);

    private final QuotaTolerance tolerance;
    private final RandomGenerator random;
    private final PeerPresence presence;
    private final Map<String, CustomerAccount> accounts = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    /** What was used of limits that ended, so that the announced totals go on if they return. */
    private final Map<String, Long> closedUses = new HashMap<>();

    private boolean configured;
    private long usedNanos;

    private CustomerAccounts(QuotaTolerance tolerance, RandomGenerator random, long nowNanos) {
        this.tolerance = tolerance;
        this.random = random;
        this.presence = PeerPresence.empty(nowNanos);
        this.usedNanos = nowNanos - USE_TIME.toNanos();
    }

    // -- construction

    /**
     * Creates the accounts of an entry that has just started.
     *
     * @param tolerance by how much the entries together may exceed a limit
     * @param random the source of the differences between the times that refused callers are told
     * @param nowNanos the current time
     * @return no accounts
     */
    public static CustomerAccounts empty(QuotaTolerance tolerance, RandomGenerator random, long nowNanos) {
        return new CustomerAccounts(
                requireNonNull(tolerance, "tolerance is null"), requireNonNull(random, "random is null"), nowNanos);
    }

    // -- queries

    /**
     * Returns whether no customer has a limit.
     *
     * @return true if there is nothing to announce
     */
    public boolean isEmpty() {
        return accounts.isEmpty();
    }

    /**
     * Returns whether customers with a limit send requests, here or at a peer. Entries then send messages more often,
     * so that a partition is noticed before its sides have used the limit twice.
     *
     * @param nowNanos the current time
     * @return true until a second after the last use
     */
    public boolean isInUse(long nowNanos) {
        return nowNanos - usedNanos < USE_TIME.toNanos();
    }

    /**
     * Returns whether this entry has used something that its peers do not know yet.
     *
     * @return true between a use and the next {@link #markAnnounced}
     */
    public boolean hasChanges() {
        return accounts.values().stream().anyMatch(CustomerAccount::isChanged);
    }

    /**
     * Returns what is announced to the peers.
     *
     * @param extent which customers are announced
     * @param nowNanos the current time
     * @return the use of the customers and what is left to them
     */
    public List<CustomerUse> announce(Extent extent, long nowNanos) {
        return accounts.entrySet().stream()
                .filter(entry -> isDue(entry.getValue(), extent, nowNanos))
                .map(entry -> entry.getValue().announce(entry.getKey(), nowNanos))
                .toList();
    }

    private static boolean isDue(CustomerAccount account, Extent extent, long nowNanos) {
        return switch (extent) {
            case CHANGES -> account.isChanged();
            case RECENT -> account.isChanged() || account.isWorthTelling(REPETITION_TIME, nowNanos);
            case ALL -> true;
        };
    }

    /**
     * Returns whether a further attempt of an admitted request may be started after one that may have run. Such
     * attempts count twice, so they stop before they use up the tolerance.
     *
     * @param customer the customer's name
     * @param nowNanos the current time
     * @return false while the account is overdrawn by a part of the tolerance
     */
    public boolean allowsRetry(String customer, long nowNanos) {
        CustomerAccount account = accounts.get(customer);
        return account == null || account.allowsRetry(nowNanos);
    }

    /**
     * Returns how much a customer may still use as far as this entry knows.
     *
     * @param customer the customer's name
     * @param nowNanos the current time
     * @return a number of units, negative after too much; empty for a customer without a limit
     */
    public Optional<Double> balance(String customer, long nowNanos) {
        return Optional.ofNullable(accounts.get(customer)).map(account -> account.balance(nowNanos));
    }

    // -- commands

    /**
     * Applies the limits of a configuration.
     *
     * @param customers the customers, with and without limits
     * @param nowNanos the current time
     */
    public void applyConfiguration(Collection<ApiCustomer> customers, long nowNanos) {
        Map<String, CustomerQuota> quotas = new HashMap<>();
        customers.forEach(customer -> customer.quota().ifPresent(quota -> quotas.put(customer.name(), quota)));
        accounts.forEach((name, account) -> closedUses.put(name, account.used()));
        accounts.keySet().retainAll(quotas.keySet());
        quotas.forEach((name, quota) -> {
            CustomerAccount account = accounts.get(name);
            if (account == null) {
                OptionalLong usedBefore =
                        configured ? OptionalLong.of(closedUses.getOrDefault(name, 0L)) : OptionalLong.empty();
                accounts.put(name, new CustomerAccount(quota, tolerance, presence, random, usedBefore, nowNanos));
            } else if (!account.quota().equals(quota)) {
                account.configure(quota, tolerance);
            }
        });
        configured = true;
    }

    /**
     * Applies how many entries share the limits. Must be called several times a second.
     *
     * @param listedEntries the number of entries, including this one; empty if it is not known yet
     * @param nowNanos the current time
     */
    public void updateEntries(OptionalInt listedEntries, long nowNanos) {
        presence.observe(nowNanos);
        presence.setListedEntries(listedEntries);
    }

    /**
     * Decides whether a request is admitted. It is debited by {@link #use} when an attempt of it starts.
     *
     * @param customer the customer's name
     * @param cost what the request counts as
     * @param priority the request's priority; 0 is most urgent
     * @param nowNanos the current time
     * @return zero if it is admitted; otherwise the time after which there should be room for it
     */
    public Duration admit(String customer, long cost, int priority, long nowNanos) {
        CustomerAccount account = accounts.get(customer);
        return account == null ? Duration.ZERO : account.admit(cost, priority, nowNanos);
    }

    /**
     * Debits an attempt that is started.
     *
     * @param customer the customer's name
     * @param cost what the request counts as
     * @param nowNanos the current time
     */
    public void use(String customer, long cost, long nowNanos) {
        CustomerAccount account = accounts.get(customer);
        if (account != null) {
            account.use(cost, nowNanos);
            usedNanos = nowNanos;
        }
    }

    /**
     * Refunds an attempt that certainly was not run.
     *
     * @param customer the customer's name
     * @param cost what was debited
     * @param nowNanos the current time
     */
    public void refund(String customer, long cost, long nowNanos) {
        use(customer, -cost, nowNanos);
    }

    /** Records that what {@link #announce} returned was sent. */
    public void markAnnounced() {
        accounts.values().forEach(CustomerAccount::markAnnounced);
    }

    /**
     * Applies a message of a peer, also one that announces no customer.
     *
     * @param peer the name of the peer's host
     * @param incarnation a number that differs after a restart of the peer
     * @param told what the peer announces
     * @param nowNanos the current time
     */
    public void applyGossip(String peer, long incarnation, List<CustomerUse> told, long nowNanos) {
        presence.hear(peer, nowNanos);
        Long before = incarnations.put(peer, incarnation);
        if (before != null && before != incarnation) {
            accounts.values().forEach(account -> account.forgetPeer(peer));
        }
        told.forEach(use -> {
            CustomerAccount account = accounts.get(use.customer());
            if (account != null) {
                usedNanos = account.applyGossip(peer, use, nowNanos) ? nowNanos : usedNanos;
            }
        });
    }
}

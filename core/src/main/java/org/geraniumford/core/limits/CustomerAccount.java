package org.geraniumford.core.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The account of one customer with a limit, as one entry keeps it: what all entries may still use. Requests are
 * admitted while the balance is positive, so that one may be larger than the whole burst. Not thread-safe; times are
 * from {@link System#nanoTime}.
 */
final class CustomerAccount {
    /**
     * The part of the tolerance that all entries together may use before they have heard each other, and again for
     * retries. The rest covers the delay of gossip and the time until a partition is noticed.
     */
    private static final double GRACE_RATIO = 0.25;

    /**
     * The part of the tolerance by which an account may be overdrawn before requests are refused. It covers the errors
     * of the accounts, so that a customer which uses exactly its limit is not refused.
     */
    private static final double MARGIN_RATIO = 0.15;

    /** Of the capacity, how much is left to more urgent requests of the customer while such requests are refused. */
    private static final double YIELD_RATIO = 0.25;

    /** The part of the difference between the balances of entries that disappears in a second. */
    private static final double CONVERGENCE_PER_SECOND = 0.5;

    /** An entry that hears all others counts on its own balance after this time, also if none announces one. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(2);

    /** After this time what this entry and its peers have used counts half in this entry's part. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(4);

    /** The longest time that a refused request is told, because callers do not wait for longer. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(1);

    /** Callers that are told the same time return within this part of it. */
    private static final double SPREAD_RATIO = 0.1;

    private static final double MILLI = 1000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final PeerPresence presence;
    private final RandomGenerator random;
    private final Map<String, Long> usedByPeer = new HashMap<>();
    private final PriorityTurns turns;
    private final RateBucket balance;
    private final long createdNanos;
    private CustomerQuota quota;
    private double toleranceUnits;
    private double windowUnits;

    /** After this time what was used before this entry started does not count. */
    private long windowNanos;

    /** Whether the balance contains what other entries used before this one started. */
    private boolean settled;

    private long used;
    private long announcedUsed;
    private long changedNanos;
    private long refilledNanos;
    private long convergedNanos;

    /** What silent peers may have used of their part of the limit, which counts as paid when they tell it. */
    private double leftToSilentPeers;

    private double recentOwnUse;
    private double recentPeerUse;
    private long halvedNanos;
    private long nextPlaceNanos;

    /**
     * Opens an account.
     *
     * @param usedBefore what this entry has used while the customer had a limit before; empty if the entry has just
     *     started, and others may have used what it does not know of
     */
    CustomerAccount(
            CustomerQuota quota,
            QuotaTolerance tolerance,
            PeerPresence presence,
            RandomGenerator random,
            OptionalLong usedBefore,
            long nowNanos) {
        this.presence = presence;
        this.random = random;
        this.turns = PriorityTurns.empty(nowNanos);
        configure(quota, tolerance);
        this.balance = new RateBucket(usedBefore.isPresent() ? capacity() : 0, micros(nowNanos));
        this.settled = usedBefore.isPresent();
        this.used = usedBefore.orElse(0);
        this.announcedUsed = used;
        this.createdNanos = nowNanos;
        this.changedNanos = nowNanos;
        this.refilledNanos = nowNanos;
        this.convergedNanos = nowNanos;
        this.halvedNanos = nowNanos;
        this.nextPlaceNanos = nowNanos;
    }

    // -- queries

    CustomerQuota quota() {
        return quota;
    }

    long used() {
        return used;
    }

    boolean isChanged() {
        return used != announcedUsed;
    }

    /** Returns whether an entry that knows nothing of the customer would take it for less used than it is. */
    boolean isWorthTelling(Duration recent, long nowNanos) {
        refill(nowNanos);
        return nowNanos - changedNanos < recent.toNanos() || balance.balance() < capacity();
    }

    /** Returns whether a further attempt of an admitted request may be started after one that may have run. */
    boolean allowsRetry(long nowNanos) {
        refill(nowNanos);
        return balance.balance() > -toleranceUnits * (MARGIN_RATIO + GRACE_RATIO) * presence.fraction(nowNanos);
    }

    double balance(long nowNanos) {
        refill(nowNanos);
        return balance.balance();
    }

    private double capacity() {
        return Math.max(quota.burst(), Math.min(quota.rate(), toleranceUnits * GRACE_RATIO));
    }

    /** Returns by how much the account may be overdrawn; an entry that knows no other's use has only its own part. */
    private double grace(long nowNanos) {
        return settled
                ? toleranceUnits * MARGIN_RATIO * presence.fraction(nowNanos)
                : toleranceUnits * GRACE_RATIO / presence.entries();
    }

    // -- commands

    /** Applies a limit. A raised burst is available at once. */
    void configure(CustomerQuota newQuota, QuotaTolerance tolerance) {
        double before = quota == null ? 0 : capacity();
        boolean raises = quota != null;
        quota = newQuota;
        toleranceUnits = tolerance.units(newQuota);
        windowNanos = tolerance.window().toNanos();
        windowUnits = newQuota.rate() * tolerance.windowSeconds();
        if (raises && capacity() > before) {
            balance.consume(before - capacity());
        }
    }

    /** Returns the time after which a request has room; zero if it is admitted. */
    Duration admit(long cost, int priority, long nowNanos) {
        refill(nowNanos);
        double required = turns.mustYield(priority, nowNanos)
                ? YIELD_RATIO * capacity() * presence.fraction(nowNanos)
                : -grace(nowNanos);
        boolean admitted = balance.balance() > required;
        turns.record(priority, (double) cost, admitted, nowNanos);
        return admitted ? Duration.ZERO : retryAfter(required, cost, nowNanos);
    }

    /** Returns when there is room for a refused request, behind those that this entry refused before. */
    private Duration retryAfter(double required, long cost, long nowNanos) {
        double rate = quota.rate() * presence.fraction(nowNanos);
        long roomNanos = nowNanos + (long) ((required - balance.balance()) / rate * NANOS_PER_SECOND);
        long placeNanos = nextPlaceNanos - roomNanos > 0 ? nextPlaceNanos : roomNanos;
        long toldNanos = Math.min(placeNanos - nowNanos, MAX_RETRY_AFTER.toNanos());
        nextPlaceNanos = nowNanos + toldNanos + (long) ((double) cost / (rate * ownPart()) * NANOS_PER_SECOND);
        double spread = 1 + SPREAD_RATIO * random.nextDouble();
        return Duration.ofNanos(Math.max(MIN_RETRY_AFTER.toNanos(), (long) (toldNanos * spread)));
    }

    /** Returns the part of the customer's use that goes through this entry. */
    private double ownPart() {
        double all = recentOwnUse + recentPeerUse;
        double least = 1.0 / presence.entries();
        return all > 0 ? Math.max(least, recentOwnUse / all) : least;
    }

    /** Debits an attempt of this entry; a negative cost refunds one that was not run. */
    void use(long cost, long nowNanos) {
        refill(nowNanos);
        balance.consume((double) cost);
        used += cost;
        changedNanos = nowNanos;
        recentOwnUse = Math.max(0, recentOwnUse + (double) cost);
    }

    CustomerUse announce(String customer, long nowNanos) {
        refill(nowNanos);
        return new CustomerUse(
                customer, used, Math.round(balance.balance() * MILLI), settled, turns.waitingPriority(nowNanos));
    }

    void markAnnounced() {
        announcedUsed = used;
    }

    /** Applies what a peer announced, and returns whether it has used anything since its last message. */
    boolean applyGossip(String peer, CustomerUse told, long nowNanos) {
        refill(nowNanos);
        double toldBalance = told.milliBalance() / MILLI;
        Long usedBefore = usedByPeer.put(peer, told.used());
        if (usedBefore != null) {
            debit(peer, (double) (told.used() - usedBefore), nowNanos);
        } else if (!told.settled()) {
            debit(peer, (double) told.used(), nowNanos);
        } else if (settled) {
            balance.lowerTo(toldBalance);
        } else {
            balance.consume(balance.balance() - toldBalance);
        }
        if (told.settled()) {
            converge(toldBalance, nowNanos);
            settled = true;
        }
        turns.recordPeerWaiting(told.waitingPriority(), nowNanos);
        return usedBefore == null || usedBefore != told.used();
    }

    /** Debits what a peer has used. What it used while it was silent was left to it, and is debited beyond that. */
    private void debit(String peer, double units, long nowNanos) {
        recentPeerUse = Math.max(0, recentPeerUse + units);
        double silentSeconds = presence.endedSilence(peer, nowNanos).toNanos() / NANOS_PER_SECOND;
        double paid = Math.max(0, Math.min(units, Math.min(leftToSilentPeers, quota.rate() * silentSeconds)));
        leftToSilentPeers -= paid;
        balance.consume(units - paid);
    }

    /** Moves the balance towards a peer's, so that neither entry is refused all room for long after a partition. */
    private void converge(double toldBalance, long nowNanos) {
        double seconds = Math.min(1, (nowNanos - convergedNanos) / NANOS_PER_SECOND);
        convergedNanos = nowNanos;
        balance.consume((balance.balance() - toldBalance) * CONVERGENCE_PER_SECOND * seconds);
    }

    /** Forgets what a peer has announced, because it has started again and counts from zero. */
    void forgetPeer(String peer) {
        usedByPeer.remove(peer);
    }

    private void refill(long nowNanos) {
        double fraction = presence.fraction(nowNanos);
        double seconds = Math.max(0, (nowNanos - refilledNanos) / NANOS_PER_SECOND);
        refilledNanos = nowNanos;
        leftToSilentPeers =
                fraction < 1 ? leftToSilentPeers + quota.rate() * (1 - fraction) * seconds : leftAfter(seconds);
        balance.refill(quota.rate() * fraction, capacity() * fraction, micros(nowNanos));
        // What was used longer than a window ago does not count, whatever the balance.
        balance.raiseTo(-windowUnits);
        long ageNanos = nowNanos - createdNanos;
        settled = settled || ageNanos >= windowNanos || (fraction >= 1 && ageNanos >= SETTLING_TIME.toNanos());
        if (nowNanos - halvedNanos > HALF_LIFE.toNanos()) {
            halvedNanos = nowNanos;
            recentOwnUse /= 2;
            recentPeerUse /= 2;
        }
    }

    /** While all peers are heard, what was left to them is forgotten within about a second. */
    private double leftAfter(double seconds) {
        return leftToSilentPeers * Math.max(0, 1 - seconds);
    }

    private static long micros(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos);
    }
}

package org.geraniumford.core.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The requests a second that one incarnation of a backend server takes from all entries together, and what is left of
 * them. Each entry keeps the whole account: it debits its own requests at once and those of its peers as soon as they
 * announce them. Requests that entries send before they have heard of each other overdraw the account, and all entries
 * wait until it is balanced again, so that errors do not add up. An entry that hears nobody and has only a small share
 * takes turns with the others instead. Not thread-safe; times are from {@link System#nanoTime}.
 */
public final class ServerLimit {
    /** The lowest rate that is used. A server without requests could not show that it no longer names its limit. */
    private static final double MIN_RATE = 0.1;

    /** How many seconds of a limit may be saved up. */
    private static final double CAPACITY_SECONDS = 1;

    /** The least that may be saved up, in requests; enough for every balance at which an entry sends. */
    private static final double MIN_CAPACITY = 2.5;

    /**
     * Entries wait for balances that differ by at most this many requests. If all waited for the same one, all would
     * send when it is reached, before any hears of another's request.
     */
    private static final double THRESHOLD_SPREAD = 0.5;

    /** How much more balance a request needs that leaves the next one to another customer. */
    private static final double YIELD_BALANCE = 1;

    /** A change is announced for this long, because a message may be lost. */
    private static final Duration ANNOUNCEMENT_TIME = Duration.ofSeconds(2);

    /** How often a limit is announced that has not changed, for entries that have just started. */
    private static final Duration REPETITION_INTERVAL = Duration.ofSeconds(1);

    private static final double MICRO = 1_000_000;

    private final RandomGenerator random;
    private final Map<String, Long> usedByPeer = new HashMap<>();
    private OptionalDouble rate = OptionalDouble.empty();
    private RateBucket account = new RateBucket(0, 0);
    private long namedMillis = Long.MIN_VALUE;
    private double threshold = 1;
    private long usedRequests;
    private long changedNanos;
    private long announcedNanos;

    /**
     * What the shared clock is ahead of {@link System#nanoTime}, in milliseconds, by the newest response or message.
     */
    private long sharedAheadMillis;

    /** The cycle in which this entry has used its turn; see {@link SendWindow}. */
    private long usedCycle = Long.MIN_VALUE;

    private ServerLimit(RandomGenerator random) {
        this.random = random;
    }

    // -- construction

    /**
     * Creates the limit of a server that has named none.
     *
     * @param random the source of the differences between entries
     * @return a limit that allows everything
     */
    public static ServerLimit none(RandomGenerator random) {
        return new ServerLimit(random);
    }

    // -- queries

    /**
     * Returns the limit that the server names.
     *
     * @return the number of requests a second; empty if it names none
     */
    public OptionalDouble rate() {
        return rate;
    }

    /**
     * Returns whether the server names a limit.
     *
     * @return true from the first response that names one until a later one that does not
     */
    public boolean isNamed() {
        return rate.isPresent();
    }

    /**
     * Returns whether another request may be sent.
     *
     * @param share the entries that share the limit
     * @param yielding whether the request leaves the next place to another customer
     * @param nowNanos the current time
     * @return true if the server names no limit, or if less than its limit was used lately
     */
    public boolean hasRoom(EntryShare share, boolean yielding, long nowNanos) {
        if (!isNamed()) {
            return true;
        }
        refill(share, nowNanos);
        return takesTurns(share) ? hasTurn(share, nowNanos) : account.hasBalance(requiredBalance(yielding));
    }

    private boolean takesTurns(EntryShare share) {
        return SendWindow.appliesTo(fullRate(), share);
    }

    private boolean hasTurn(EntryShare share, long nowNanos) {
        SendWindow window = SendWindow.of(fullRate(), share);
        long sharedMillis = sharedMillis(nowNanos);
        return window.isOpen(sharedMillis) && window.cycle(sharedMillis) != usedCycle;
    }

    private long sharedMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos) + sharedAheadMillis;
    }

    /**
     * Returns when another request may be sent, if no entry sends one before.
     *
     * @param share the entries that share the limit
     * @param yielding whether the request leaves the next place to another customer
     * @param nowNanos the current time
     * @return the time until then; zero if one may be sent now
     */
    public Duration timeUntilRoom(EntryShare share, boolean yielding, long nowNanos) {
        if (hasRoom(share, yielding, nowNanos)) {
            return Duration.ZERO;
        }
        if (takesTurns(share)) {
            return SendWindow.of(fullRate(), share).timeUntilNext(sharedMillis(nowNanos));
        }
        long micros = account.microsUntil(requiredBalance(yielding), usedRate(share));
        return Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(micros));
    }

    /**
     * Returns the rate at which this entry and the peers that it hears may send.
     *
     * @param share the entries that share the limit
     * @return the number of requests a second, above 0; infinite if the server names no limit
     */
    public double usedRate(EntryShare share) {
        return rate.isPresent() ? fullRate() * share.fraction() : Double.POSITIVE_INFINITY;
    }

    private double fullRate() {
        return Math.max(MIN_RATE, rate.orElse(0));
    }

    private double requiredBalance(boolean yielding) {
        return threshold + (yielding ? YIELD_BALANCE : 0);
    }

    /**
     * Returns whether the limit is to be announced to the peers.
     *
     * @param nowNanos the current time
     * @return true for some time after a change, and now and then while the server names a limit
     */
    public boolean isAnnouncementDue(long nowNanos) {
        if (namedMillis == Long.MIN_VALUE) {
            return false;
        }
        boolean changed = nowNanos - changedNanos < ANNOUNCEMENT_TIME.toNanos();
        return changed || (isNamed() && nowNanos - announcedNanos >= REPETITION_INTERVAL.toNanos());
    }

    /**
     * Returns when the limit was last announced.
     *
     * @return the time of the last {@link #announce}
     */
    public long announcedNanos() {
        return announcedNanos;
    }

    // -- commands

    /**
     * Applies what a response named. Responses may be received in another order than they were sent, so one that is
     * older than the newest known changes nothing.
     *
     * @param newRate the number of requests a second; empty if the response names none
     * @param responseMillis when the response was received, in milliseconds of the shared clock
     * @param nowNanos the current time
     * @return true if the limit changed
     */
    public boolean apply(OptionalDouble newRate, long responseMillis, long nowNanos) {
        boolean nothingNamed = newRate.isEmpty() && namedMillis == Long.MIN_VALUE;
        if (nothingNamed || responseMillis < namedMillis) {
            return false;
        }
        namedMillis = responseMillis;
        sharedAheadMillis = responseMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos);
        if (newRate.equals(rate)) {
            return false;
        }
        if (rate.isEmpty()) {
            account = new RateBucket(0, micros(nowNanos));
        }
        rate = newRate;
        changedNanos = nowNanos;
        return true;
    }

    /**
     * Records that this entry sends a request.
     *
     * @param share the entries that share the limit
     * @param nowNanos the current time
     */
    public void use(EntryShare share, long nowNanos) {
        if (isNamed()) {
            refill(share, nowNanos);
            account.consume(1);
            usedCycle = SendWindow.of(fullRate(), share).cycle(sharedMillis(nowNanos));
            usedRequests++;
            threshold = 1 + THRESHOLD_SPREAD * share.othersFraction() * random.nextDouble();
            changedNanos = nowNanos;
        }
    }

    /**
     * Returns what is announced to the peers.
     *
     * @param server the server's name
     * @param incarnation the server's incarnation
     * @param share the entries that share the limit
     * @param nowNanos the current time
     * @return the limit and this entry's use
     */
    public ServerLimitUse announce(String server, long incarnation, EntryShare share, long nowNanos) {
        announcedNanos = nowNanos;
        if (isNamed()) {
            refill(share, nowNanos);
        }
        return new ServerLimitUse(
                server,
                incarnation,
                rate.isPresent() ? Math.round(rate.getAsDouble() * MICRO) : -1,
                namedMillis,
                usedRequests,
                Math.round(account.balance() * MICRO));
    }

    /**
     * Applies what a peer announced.
     *
     * @param peer the name of the peer's host
     * @param told the announcement
     * @param share the entries that share the limit
     * @param nowMillis the current time in milliseconds of the shared clock; an announcement from later counts as of
     *     now, because a peer whose clock is ahead must not outlast what this entry reads itself
     * @param nowNanos the current time
     * @return true if the limit changed
     */
    public boolean applyGossip(String peer, ServerLimitUse told, EntryShare share, long nowMillis, long nowNanos) {
        OptionalDouble toldRate = told.microRequestsPerSecond() < 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(told.microRequestsPerSecond() / MICRO);
        boolean changed = apply(toldRate, Math.min(told.namedMillis(), nowMillis), nowNanos);
        if (isNamed()) {
            sharedAheadMillis = nowMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos);
            refill(share, nowNanos);
            debit(peer, told);
        }
        usedByPeer.put(peer, told.usedRequests());
        return changed;
    }

    /** Debits what a peer has used since its last announcement, or takes its account if that is not known. */
    private void debit(String peer, ServerLimitUse told) {
        Long usedBefore = usedByPeer.get(peer);
        if (usedBefore != null && told.usedRequests() >= usedBefore) {
            account.consume((double) (told.usedRequests() - usedBefore));
        } else {
            account.lowerTo(told.microBalance() / MICRO);
        }
    }

    private void refill(EntryShare share, long nowNanos) {
        account.refill(usedRate(share), Math.max(MIN_CAPACITY, fullRate() * CAPACITY_SECONDS), micros(nowNanos));
    }

    private static long micros(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos);
    }
}

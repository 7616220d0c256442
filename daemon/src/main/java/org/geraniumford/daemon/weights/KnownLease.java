package org.geraniumford.daemon.weights;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.geraniumford.core.store.StoreVersion;
import org.geraniumford.core.time.LocalClock;
import org.geraniumford.core.weights.LeaseRow;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.LeaseTerm;
import org.geraniumford.core.weights.LeaseVersions;
import org.geraniumford.core.weights.OrderIntent;
import org.geraniumford.core.weights.OrderSightings;
import org.geraniumford.core.weights.OrderSpacing;
import org.geraniumford.core.weights.WeightsLease;
import org.geraniumford.transport.log.LogEvent;

/**
 * What this process knows of the weights lease: the newest state of its row, and when the row and each order in it were
 * first seen, on the local clock. Used on one network thread.
 */
final class KnownLease {
    /** How long a holder may leave the row unwritten, while servers are outdated, before another entry takes over. */
    private static final Duration LEASE_TIMEOUT = Duration.ofSeconds(2);

    /** How long a lease that is not renewed is announced to peers. */
    private static final Duration GOSSIP_LIFETIME = Duration.ofSeconds(6);

    private final String host;
    private final String process;
    private final LocalClock clock;
    private final OrderSightings sightings;

    /** How much longer than their spacing intents stay in the row. */
    private final Duration extraRetention;

    private WeightsLease lease = WeightsLease.empty();

    /** The version of the row that the next write expects; 0 if the row does not exist. */
    private long rowVersion;

    /** The version of the last write of the row that the next write expects. */
    private long writtenVersion;

    /** The newest version, of the row or of the store, as of which the row is known. */
    private long knownVersion;

    /** When the state of the row was learned, from {@link LocalClock#nanos}. */
    private long learnedNanos;

    private boolean known;

    private boolean readRequired = true;

    /**
     * Creates the knowledge of a process that has not seen the row.
     *
     * @param host the name of this host
     * @param process identifies this process on its host
     * @param clock the local clock
     * @param orderSpacing what keeps the orders of two terms to one server apart
     * @param extraRetention how much longer than the spacing intents stay in the row
     */
    KnownLease(String host, String process, LocalClock clock, OrderSpacing orderSpacing, Duration extraRetention) {
        this.host = host;
        this.process = process;
        this.clock = clock;
        this.sightings = OrderSightings.of(orderSpacing);
        this.extraRetention = extraRetention;
    }

    // -- queries

    /** Returns whether the row must be read: nobody has told of it yet, or what is known of it may be lost. */
    boolean isReadRequired() {
        return readRequired;
    }

    /**
     * Returns whether the row is to be written even if there is nothing to order: if it does not exist, so that a row
     * that is missing later was removed; if this process holds the lease and nothing in the row concerns others any
     * more, so that a process that starts does not take it for new.
     */
    boolean isRowToWrite() {
        return (known && rowVersion == 0) || (isOwn() && !lease.released() && isContentOver());
    }

    private boolean isContentOver() {
        long nowNanos = clock.nanos();
        boolean lossOver = lease.ordersLostVersion() > 0 && !sightings.isLossRecent(nowNanos);
        boolean intentsOver = !lease.intents().isEmpty()
                && lease.intents().stream()
                        .noneMatch(intent -> sightings.isNeeded(intent.key(), extraRetention, nowNanos));
        return lossOver || intentsOver;
    }

    WeightsLease lease() {
        return lease;
    }

    long rowVersion() {
        return rowVersion;
    }

    /** Returns what the next write expects. */
    LeaseVersions versions() {
        return new LeaseVersions(rowVersion, writtenVersion);
    }

    /** Returns whether the current term is this process's own. */
    boolean isOwn() {
        return lease.term().isOf(host, process);
    }

    /** Returns whether some process holds the lease, and the row has changed recently. */
    boolean isFresh() {
        return lease.term().fencingToken() > 0 && !lease.released() && age().compareTo(LEASE_TIMEOUT) < 0;
    }

    /** Returns whether this process holds the lease, in the term of a fencing token. */
    boolean isTerm(long fencingToken) {
        return isOwn() && lease.term().fencingToken() == fencingToken;
    }

    /** Returns how long ago the state of the row was learned. */
    Duration age() {
        return Duration.ofNanos(clock.nanos() - learnedNanos);
    }

    /** Returns the row to announce to peers; empty if it has not changed within the last 6 s. */
    LeaseSnapshot gossip() {
        boolean current = rowVersion > 0 && age().compareTo(GOSSIP_LIFETIME) < 0;
        return current ? new LeaseSnapshot(rowVersion, lease.encode()) : LeaseSnapshot.empty();
    }

    /** Returns the term in which this process writes the row next. */
    LeaseTerm nextTerm() {
        return isOwn() ? lease.term() : lease.term().next(host, process, knownVersion);
    }

    /** Returns the version that identifies the orders of the next write. */
    long nextOrderVersion() {
        return knownVersion;
    }

    /** Returns whether an order of a term may be recorded now, as far as the orders of other terms are concerned. */
    boolean allowsOrder(String server, LeaseTerm term) {
        return sightings.allowsOrder(server, term.fencingToken(), clock.nanos());
    }

    /** Returns whether a server has to answer a request before another term may order it. */
    boolean isAnswerMissing(String server) {
        return sightings.isAnswerMissing(server, clock.nanos());
    }

    /** Returns the row as this process writes it to renew or take over the lease and to record intents. */
    WeightsLease renewedWith(LeaseTerm term, List<OrderIntent> newIntents) {
        long nowNanos = clock.nanos();
        return lease.renewedBy(
                        term,
                        newIntents,
                        order -> sightings.isNeeded(order, extraRetention, nowNanos),
                        sightings.isLossRecent(nowNanos),
                        replacedVersion())
                .withRead(sightings::isRead);
    }

    /** Returns the row as this process writes it to release the lease. */
    WeightsLease released() {
        return lease.asReleased(replacedVersion()).withRead(sightings::isRead);
    }

    private long replacedVersion() {
        return rowVersion > 0
                ? rowVersion
                : StoreVersion.ofOrdinal(knownVersion).eraStart().ordinal();
    }

    /** Returns the orders of other terms that hold back orders of a term. */
    private String heldBackServers(LeaseTerm term) {
        return lease.intents().stream()
                .filter(intent -> !allowsOrder(intent.server(), term))
                .map(intent -> intent.server() + ':' + intent.key().fencingToken())
                .collect(Collectors.joining(","));
    }

    /** Logs that this process is about to take over the lease. */
    void logTakeover(LeaseTerm term) {
        LogEvent.of("lease_takeover")
                .with("fence", term.fencingToken())
                .with("row", rowVersion)
                .with("from", lease.term().holder())
                .with("unchanged_ms", age().toMillis())
                .with("held_back", heldBackServers(term))
                .info();
    }

    // -- commands

    /** Records that the store has come back from a copy, which may lack the last values of the row. */
    void requireRead() {
        readRequired = true;
    }

    /** Records that a server has just answered a request. */
    void recordAnswer(String server, long sentNanos) {
        sightings.recordAnswer(server, sentNanos, clock.nanos());
    }

    /**
     * Applies the row as a peer announced it, if it is newer and can be read.
     *
     * @return whether it was applied
     */
    boolean applyGossip(LeaseSnapshot snapshot) {
        if (snapshot.version() <= knownVersion || !StoreVersion.isOrdinal(snapshot.version())) {
            return false;
        }
        Optional<WeightsLease> announced = WeightsLease.decode(snapshot.encodedLease());
        announced.ifPresent(newLease -> adoptWritten(newLease, snapshot.version()));
        return announced.isPresent();
    }

    /**
     * Applies the row as the store returned it, so that the next write expects its version whatever it holds. A read
     * that began before the known state was learned does not replace it by an older one.
     *
     * @param row the row
     * @param readNanos when the read began, from {@link LocalClock#nanos}
     * @return whether it was applied
     */
    boolean applyRead(LeaseRow row, long readNanos) {
        readRequired = false;
        long version = row.snapshot().version();
        // A row that is missing again may have been written and removed meanwhile.
        boolean unchanged = known && version > 0 && version == rowVersion;
        boolean outdated = known && version < knownVersion && readNanos - learnedNanos < 0;
        if (outdated) {
            return false;
        }
        writtenVersion = row.writtenVersion();
        if (unchanged) {
            return false;
        }
        if (row.snapshot().isEmpty()) {
            long highestToken = Math.max(row.storeVersion(), lease.term().fencingToken());
            adopt(WeightsLease.ofMissingRow(highestToken), 0, row.storeVersion());
        } else {
            adopt(decode(row), version, version);
        }
        return true;
    }

    /**
     * Returns the lease in the row; one with lost intents if it cannot be read, if others have changed it, or if it was
     * written in an earlier era of the store, after which the row may have had further values.
     */
    private static WeightsLease decode(LeaseRow row) {
        LeaseSnapshot snapshot = row.snapshot();
        Optional<WeightsLease> lease = WeightsLease.decode(snapshot.encodedLease());
        boolean earlierEra =
                lease.filter(found -> found.isOfEarlierEra(snapshot.version())).isPresent();
        if (lease.isPresent() && !earlierEra && !row.isChangedByOthers()) {
            return lease.get();
        }
        String event = earlierEra ? "lease_of_earlier_era" : "lease_changed_by_others";
        LogEvent.of(lease.isPresent() ? event : "lease_unreadable")
                .with("row", snapshot.version())
                .with("written", row.writtenVersion())
                .with("value", LogEvent.limited(snapshot.encodedLease()))
                .warn();
        return WeightsLease.ofUnreadableRow(snapshot.version());
    }

    /**
     * Applies the row as this process has written it.
     *
     * @return false if a newer state was learned while the write was in progress
     */
    boolean applyWritten(WeightsLease written, long newRowVersion) {
        if (newRowVersion <= knownVersion) {
            return false;
        }
        adoptWritten(written, newRowVersion);
        return true;
    }

    /** Adopts the row as an entry has written it; a write that expects too much here fails, and the row is read. */
    private void adoptWritten(WeightsLease newLease, long version) {
        writtenVersion = version;
        adopt(newLease, version, version);
    }

    private void adopt(WeightsLease newLease, long newRowVersion, long newKnownVersion) {
        boolean putBack = newLease.isOlderThan(rowVersion)
                || newLease.term().fencingToken() < lease.term().fencingToken();
        if (putBack) {
            LogEvent.of("lease_put_back")
                    .with("row", newRowVersion)
                    .with("known_row", rowVersion)
                    .with("replaced", newLease.replacedVersion())
                    .with("fence", newLease.term().fencingToken())
                    .with("known_fence", lease.term().fencingToken())
                    .warn();
        }
        long highestToken = Math.max(newKnownVersion, lease.term().fencingToken());
        lease = putBack ? WeightsLease.ofUnreadableRow(highestToken) : newLease;
        rowVersion = newRowVersion;
        knownVersion = newKnownVersion;
        learnedNanos = clock.nanos();
        // Once the store has come back from a copy, only a read tells.
        readRequired = readRequired && known;
        known = true;
        sightings.observe(lease, learnedNanos);
    }
}

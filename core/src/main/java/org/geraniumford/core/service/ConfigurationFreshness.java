package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.stream.Stream;
import org.geraniumford.core.time.SharedClock;

/**
 * How recently the configuration in force was confirmed as the newest one, by the operator's table or by a peer that
 * has read it later. An entry acts on its configuration whatever its age; it asks for a newer one, and refuses no
 * request because of it, once it has been without a confirmation for too long or has heard of a newer version. Not
 * thread-safe.
 */
public final class ConfigurationFreshness {
    /** How long after it has been heard of a newer version is waited for, because it mostly arrives by itself. */
    private static final Duration ARRIVAL_TIME = Duration.ofMillis(200);

    /**
     * How long after a new era of the store has begun the table may lack versions that peers have in force. The
     * operator has written them again by then.
     */
    private static final Duration REWRITING_TIME = Duration.ofSeconds(10);

    private static final long NEVER = Long.MAX_VALUE;

    private final SharedClock clock;
    private final FreshnessBounds bounds;

    /** The last time that this entry has read the operator's table. */
    private ConfirmedConfiguration read = ConfirmedConfiguration.NONE;

    /** The latest confirmation that a peer has told. */
    private ConfirmedConfiguration told = ConfirmedConfiguration.NONE;

    /** The newest version that was heard of, and when that was first, in milliseconds of the shared clock. */
    private long announcedVersion;

    private long announcedMillis;

    /** The last version that was told of and does not exist; -1 before one. */
    private long disprovedVersion = -1;

    /** Whether an era of the store has begun whose table was not read yet. */
    private boolean eraBegun;

    /** Until when the table may lack versions that exist, in milliseconds of the shared clock. */
    private long incompleteUntilMillis;

    private ConfigurationFreshness(SharedClock clock, FreshnessBounds bounds) {
        this.clock = clock;
        this.bounds = bounds;
    }

    // -- construction

    /**
     * Creates a record without confirmations.
     *
     * @param clock the clock that all entries share
     * @param bounds how long an entry goes on without a confirmation
     * @return an empty record
     */
    public static ConfigurationFreshness of(SharedClock clock, FreshnessBounds bounds) {
        return new ConfigurationFreshness(
                requireNonNull(clock, "clock is null"), requireNonNull(bounds, "bounds is null"));
    }

    // -- queries

    /**
     * Returns the age of a version.
     *
     * @param version the version in force
     * @return how long ago it was confirmed last, in milliseconds; {@link Long#MAX_VALUE} if it never was
     */
    public long ageMillis(long version) {
        ConfirmedConfiguration confirmed = confirmation(version);
        return confirmed.version() > 0 && clock.isKnown()
                ? Math.max(0, clock.millis() - confirmed.confirmedMillis())
                : NEVER;
    }

    /**
     * Returns the age of a version for logs.
     *
     * @param version the version in force
     * @return how long ago it was confirmed, or that it never was
     */
    public String describeAge(long version) {
        long ageMillis = ageMillis(version);
        return ageMillis == NEVER ? "never" : ageMillis + "ms_ago";
    }

    private ConfirmedConfiguration confirmation(long version) {
        return Stream.of(read, told)
                .filter(confirmed -> confirmed.version() == version)
                .reduce(ConfirmedConfiguration.NONE, ConfirmedConfiguration::later);
    }

    /**
     * Returns whether requests may be refused because of a version.
     *
     * @param version the version in force
     * @return true if it was confirmed lately, and no newer one has been heard of since
     */
    public boolean allowsRefusal(long version) {
        return !isReplaced(version)
                && ageMillis(version) <= bounds.maxRefusalAge().toMillis();
    }

    /**
     * Returns whether the entry must ask for the configuration now, on a new connection.
     *
     * @param version the version in force
     * @return true if it was not confirmed for long, or a newer one that was heard of does not arrive
     */
    public boolean mustAsk(long version) {
        boolean overdue = isReplaced(version) && clock.millis() - announcedMillis >= ARRIVAL_TIME.toMillis();
        return overdue || ageMillis(version) > bounds.maxSilence().toMillis();
    }

    private boolean isReplaced(long version) {
        return announcedVersion > version;
    }

    /**
     * Returns what this entry tells its peers.
     *
     * @param version the version in force
     * @return its latest confirmation, with its age; {@link ConfirmedConfiguration#NONE} if it was never confirmed
     */
    public ConfirmedConfiguration gossip(long version) {
        long ageMillis = ageMillis(version);
        return ageMillis == NEVER
                ? ConfirmedConfiguration.NONE
                : new ConfirmedConfiguration(version, confirmation(version).confirmedMillis(), ageMillis);
    }

    // -- commands

    /**
     * Records that the operator's table had no newer version.
     *
     * @param version the version in force
     * @param tableMillis when the table was read, in milliseconds of the shared clock
     */
    public void recordTableRead(long version, long tableMillis) {
        read = read.later(new ConfirmedConfiguration(version, tableMillis, 0));
        if (eraBegun) {
            eraBegun = false;
            incompleteUntilMillis = tableMillis + REWRITING_TIME.toMillis();
        }
        boolean missing = announcedVersion > version && tableMillis >= announcedMillis;
        if (missing && tableMillis >= incompleteUntilMillis) {
            // Whoever told of a newer version was wrong.
            disprovedVersion = announcedVersion;
            announcedVersion = version;
            told = ConfirmedConfiguration.NONE;
        }
    }

    /**
     * Records that the store has told its era for the first time, or has begun a new one: it may have come back from a
     * copy that lacks versions which peers have in force.
     */
    public void recordNewEra() {
        eraBegun = true;
    }

    /**
     * Records what a peer tells of the configuration that it has in force.
     *
     * @param confirmation the peer's latest confirmation
     */
    public void recordGossip(ConfirmedConfiguration confirmation) {
        if (confirmation.version() == 0 || confirmation.version() == disprovedVersion) {
            return;
        }
        if (!clock.isKnown()) {
            clock.observe(confirmation.confirmedMillis() + confirmation.ageMillis());
        }
        long confirmedMillis = Math.min(confirmation.confirmedMillis(), clock.millis());
        told = told.later(new ConfirmedConfiguration(confirmation.version(), confirmedMillis, 0));
        recordAnnounced(confirmation.version());
    }

    /**
     * Records that a version exists.
     *
     * @param version a version that a peer has in force
     */
    public void recordAnnounced(long version) {
        if (version > announcedVersion && version != disprovedVersion) {
            announcedVersion = version;
            announcedMillis = clock.millis();
        }
    }
}

package org.geraniumford.core.limits;

import java.util.OptionalInt;

/**
 * How many of the entries that share a backend server's limit this entry hears. Entries that cannot hear each other may
 * together use only their part of a limit, so that the parts of a deployment that is partitioned add up to it.
 *
 * @param heardPeers the number of other entries that announced their use recently
 * @param sharingEntries the number of entries that may use the limit, including this one
 * @param position the place of this entry among them, from 0 to below 1
 */
public record EntryShare(int heardPeers, int sharingEntries, double position) {
    /** The number of entries assumed by an entry that does not know yet how many there are. */
    private static final int ASSUMED_ENTRIES = 8;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a count or the position is out of range
     */
    public EntryShare {
        if (heardPeers < 0 || sharingEntries <= heardPeers) {
            throw new IllegalArgumentException(heardPeers + " peers of " + sharingEntries + " entries");
        }
        if (!(position >= 0 && position < 1)) {
            throw new IllegalArgumentException("position " + position);
        }
    }

    // -- construction

    /**
     * Returns the share of an entry that has just started.
     *
     * @return a share in which no peer of an assumed number of entries is heard
     */
    public static EntryShare unknown() {
        return new EntryShare(0, ASSUMED_ENTRIES, 0);
    }

    /**
     * Returns the share of an entry, in which all peers that it hears count.
     *
     * @param heardPeers the number of other entries that announced their use recently
     * @param listedEntries the number of entries that are listed, including this one; empty if that is not known yet
     * @param position the place of this entry among them, from 0 to below 1
     * @return the share
     */
    public static EntryShare of(int heardPeers, OptionalInt listedEntries, double position) {
        return new EntryShare(heardPeers, Math.max(heardPeers + 1, listedEntries.orElse(ASSUMED_ENTRIES)), position);
    }

    // -- queries

    /**
     * Returns the part of a limit that this entry and the peers that it hears may use together.
     *
     * @return a fraction, above 0 and at most 1
     */
    public double fraction() {
        return (heardPeers + 1.0) / sharingEntries;
    }

    /**
     * Returns the part of a limit that is other entries'.
     *
     * @return a fraction, at least 0 and below 1
     */
    public double othersFraction() {
        return (sharingEntries - 1.0) / sharingEntries;
    }
}

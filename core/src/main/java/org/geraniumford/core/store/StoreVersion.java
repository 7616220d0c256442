package org.geraniumford.core.store;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A version of the platform's store. The store counts its transactions, and may come back from a copy some seconds old:
 * a new era begins, in which it gives out numbers of the era before again. Equal numbers of two eras name two states,
 * so versions are compared by their eras first. Whatever remembers a version remembers its era.
 *
 * @param era the number of the era, which rises each time; 0 for a store that does not tell it
 * @param number the number that the store gave out in that era; 0 before the first transaction
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {
    /** The number of eras that {@link #ordinal} can tell apart. Ordinals are exact where JSON numbers are doubles. */
    public static final long ERAS = 1L << 13;

    /** Numbers below this one can be told apart by {@link #ordinal}. */
    public static final long NUMBERS = 1L << 40;

    private static final Comparator<StoreVersion> ORDER =
            Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::number);

    /** Checks the components. */
    public StoreVersion {
        if (era < 0 || era >= ERAS) {
            throw new IllegalArgumentException("era is out of range: " + era);
        }
        if (number < 0 || number >= NUMBERS) {
            throw new IllegalArgumentException("number is out of range: " + number);
        }
    }

    // -- construction

    /**
     * Returns the version that has an ordinal.
     *
     * @param ordinal the ordinal, as from {@link #ordinal}
     * @return the version; an {@link IllegalArgumentException} is thrown if no version has this ordinal
     */
    public static StoreVersion ofOrdinal(long ordinal) {
        return new StoreVersion(ordinal / NUMBERS, ordinal % NUMBERS);
    }

    /**
     * Returns whether a number is the ordinal of a version.
     *
     * @param number any number, for example one that a peer sent
     * @return false if no version has it
     */
    public static boolean isOrdinal(long number) {
        return number >= 0 && number < ERAS * NUMBERS;
    }

    /**
     * Returns the ordinal of a version that may be absent.
     *
     * @param version the version
     * @return its ordinal, or empty
     */
    public static OptionalLong ordinalOf(Optional<StoreVersion> version) {
        return version.stream().mapToLong(StoreVersion::ordinal).findFirst();
    }

    // -- queries

    /**
     * Returns a number that rises from each version to each later one, also from one era to the next. The versions of a
     * store that does not tell its era have their own numbers as ordinals.
     *
     * @return the ordinal
     */
    public long ordinal() {
        return era * NUMBERS + number;
    }

    /**
     * Returns whether this version is older than another one.
     *
     * @param other the other version
     * @return true if its era is an earlier one, or its number in the same era a smaller one
     */
    public boolean isOlderThan(StoreVersion other) {
        return compareTo(other) < 0;
    }

    /**
     * Returns the version with which this one's era begins, before its first transaction.
     *
     * @return a version that is not newer than this one
     */
    public StoreVersion eraStart() {
        return new StoreVersion(era, 0);
    }

    @Override
    public int compareTo(StoreVersion other) {
        return ORDER.compare(this, other);
    }

    /** Returns the era and the number, separated by a colon. */
    @Override
    public String toString() {
        return era + ":" + number;
    }
}

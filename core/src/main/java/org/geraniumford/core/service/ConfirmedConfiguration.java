package org.geraniumford.core.service;

/**
 * A version of the configuration that was the newest one at some time. The time is one of the clock that all entries
 * share, so that it stays right however long a message about it is on its way. Time and age together tell what that
 * clock showed when the message was sent.
 *
 * @param version the version; 0 if none was confirmed
 * @param confirmedMillis the time at which no newer version existed, in milliseconds of the shared clock
 * @param ageMillis how many milliseconds before the message that was; 0 outside of messages
 */
public record ConfirmedConfiguration(long version, long confirmedMillis, long ageMillis) {
    /** No version. */
    public static final ConfirmedConfiguration NONE = new ConfirmedConfiguration(0, 0, 0);

    // -- combinators

    /**
     * Returns the later one of this confirmation and another one.
     *
     * @param other the other confirmation
     * @return the one of the newer version, or of two for the same version the one with the later time
     */
    public ConfirmedConfiguration later(ConfirmedConfiguration other) {
        boolean otherIsLater =
                other.version > version || (other.version == version && other.confirmedMillis > confirmedMillis);
        return otherIsLater ? other : this;
    }
}

package org.geraniumford.core.limits;

import java.time.Duration;

/**
 * When one of several entries that hear nobody may send its request to a server with a low limit. Each entry may send
 * one request in each cycle, in which every entry has its turn; the turns begin one after the other, in the order of
 * the entries' positions. An entry cannot save its turn up: it passes after a while, so that entries without requests
 * do not all send at the same time later. In any 4 s, all entries together thus send at most 5 times the limit and 4
 * requests.
 *
 * @param rate the requests a second that the server takes, above 0
 * @param entries the number of entries that share the limit
 * @param position the entry's place among them, from 0 to below 1
 */
record SendWindow(double rate, int entries, double position) {
    /** Turns are used for a share of less than this many requests a second; larger ones are saved up in an account. */
    private static final double MAX_SHARE = 0.25;

    private static final double MIN_LENGTH_SECONDS = 1;

    /** The number of entries whose turns overlap, beyond those that begin within {@link #MIN_LENGTH_SECONDS}. */
    private static final double OVERLAPPING_TURNS = 2;

    private static final double MILLIS_PER_SECOND = 1000;

    // -- construction

    /**
     * Returns the window of an entry.
     *
     * @param rate the requests a second that the server takes, above 0
     * @param share the entry's share
     * @return the window of one of the entries
     */
    static SendWindow of(double rate, EntryShare share) {
        return new SendWindow(rate, share.sharingEntries(), share.position());
    }

    // -- queries

    /** Returns whether an entry takes turns, because it hears no other entry and has only a small share. */
    static boolean appliesTo(double rate, EntryShare share) {
        return share.heardPeers() == 0 && share.sharingEntries() > 1 && rate / share.sharingEntries() < MAX_SHARE;
    }

    /**
     * Returns the number of the cycle in which the entry's last turn began.
     *
     * @param sharedMillis the current time in milliseconds of the clock that the entries share
     */
    long cycle(long sharedMillis) {
        return (long) Math.floor(turns(sharedMillis));
    }

    /** Returns whether the entry's turn lasts. */
    boolean isOpen(long sharedMillis) {
        return (turns(sharedMillis) - cycle(sharedMillis)) * cycleSeconds() < lengthSeconds();
    }

    /** Returns the time until the entry's next turn begins. */
    Duration timeUntilNext(long sharedMillis) {
        double seconds = (cycle(sharedMillis) + 1 - turns(sharedMillis)) * cycleSeconds();
        return Duration.ofMillis((long) Math.ceil(seconds * MILLIS_PER_SECOND));
    }

    private double turns(long sharedMillis) {
        return sharedMillis / MILLIS_PER_SECOND / cycleSeconds() - position;
    }

    private double cycleSeconds() {
        return entries / rate;
    }

    private double lengthSeconds() {
        return Math.min(cycleSeconds(), MIN_LENGTH_SECONDS + OVERLAPPING_TURNS / rate);
    }
}

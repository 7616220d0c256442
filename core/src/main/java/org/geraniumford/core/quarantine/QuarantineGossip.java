package org.geraniumford.core.quarantine;

import java.util.List;

/**
 * What one entry announces about segments under which engines end.
 *
 * @param suspects the held segments, and those whose state changed recently at the sender
 * @param trials the keys of the segments that a request of the sender has on trial
 */
public record QuarantineGossip(List<SuspectSegment> suspects, List<Long> trials) {
    /** Copies the lists. */
    public QuarantineGossip {
        suspects = List.copyOf(suspects);
        trials = List.copyOf(trials);
    }

    // -- construction

    /**
     * Returns an announcement without segments.
     *
     * @return empty lists
     */
    public static QuarantineGossip empty() {
        return new QuarantineGossip(List.of(), List.of());
    }
}

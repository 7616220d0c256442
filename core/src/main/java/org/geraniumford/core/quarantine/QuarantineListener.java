package org.geraniumford.core.quarantine;

import java.time.Duration;

/** Receives the changes of a {@link SegmentQuarantine}. */
public interface QuarantineListener {
    /** Handles a change that this entry observed itself and that is to be announced to the peers at once. */
    void changed();

    /**
     * Handles the start of a hold, or its extension by a further end.
     *
     * @param segment the segment's key
     * @param count the number of ends that count against the segment
     * @param hold how long requests with the segment are held after the end
     */
    void held(long segment, int count, Duration hold);

    /**
     * Handles the end of a hold, because a response with the segment began.
     *
     * @param segment the segment's key
     */
    void released(long segment);
}

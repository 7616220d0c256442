package org.geraniumford.core.stream;

/** What a run of tokens is to an answer. */
public enum Placement {
    /** The run starts at the next offset, or overlaps it; its new tokens go to the caller. */
    NEXT,
    /** All tokens of the run were delivered before. */
    DUPLICATE,
    /** The run belongs to an attempt or a request that is not the current one. */
    STALE,
    /** Tokens before the run are missing, so the attempt cannot be continued. */
    GAP
}

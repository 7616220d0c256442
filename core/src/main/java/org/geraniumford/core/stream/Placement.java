package org.geraniumford.core.stream;

/** The position of a run of tokens relative to the tokens that were delivered. */
public enum Placement {
    /** The run starts at or before the end of the delivered tokens and has new ones to deliver to the caller. */
    NEXT,
    /** All tokens of the run were delivered before. */
    DUPLICATE,
    /** The run belongs to an attempt or a request that is not the current one. */
    STALE,
    /** Tokens before the run are missing, so the attempt cannot continue. */
    GAP
}

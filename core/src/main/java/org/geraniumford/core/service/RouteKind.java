package org.geraniumford.core.service;

/** What a route allows to be repeated, and how its answers are passed on. */
public enum RouteKind {
    /** May run any number of times. */
    SAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return true;
        }
    },
    /** May run at most once for each request. */
    UNSAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return false;
        }
    },
    /** Answers with a stream of events; may run again only where it can be resumed. */
    STREAMING {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return resumable;
        }
    };

    // -- queries

    /**
     * Says whether a request that may have run can be sent again.
     *
     * @param resumable whether the route declares its streams resumable
     * @return true if a second run does no harm
     */
    public abstract boolean isIdempotent(boolean resumable);
}

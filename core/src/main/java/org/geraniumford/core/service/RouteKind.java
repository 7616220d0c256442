package org.geraniumford.core.service;

/** Whether a route's requests may be retried after they may have run, and how its responses are forwarded. */
public enum RouteKind {
    /** Requests may run any number of times. */
    SAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return true;
        }
    },
    /** Each request may run at most once. */
    UNSAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return false;
        }
    },
    /** Responses are streams of events; a request may run again only if its stream can be resumed. */
    STREAMING {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return resumable;
        }
    };

    // -- queries

    /**
     * Returns whether a request that may have run can be retried.
     *
     * @param resumable whether the route declares its streams resumable
     * @return true if running the request a second time does no harm
     */
    public abstract boolean isIdempotent(boolean resumable);
}

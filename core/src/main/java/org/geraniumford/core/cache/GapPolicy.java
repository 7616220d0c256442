package org.geraniumford.core.cache;

/** What becomes of the index when events are missing. */
public enum GapPolicy {
    /** Voids every claim. */
    DROP_ALL {
        @Override
        int voidedClaims(long lostEvents, double evictionsPerEvent, int claims) {
            return claims;
        }
    },
    /** Voids nothing, so that claims of pieces whose eviction was lost stay. */
    IGNORE {
        @Override
        int voidedClaims(long lostEvents, double evictionsPerEvent, int claims) {
            return 0;
        }
    },
    /**
     * Voids the claims that the lost events are likely to have changed: engines evict the least recently used pieces,
     * and lost events evict as many on average as those seen.
     */
    VOID_AFFECTED {
        @Override
        int voidedClaims(long lostEvents, double evictionsPerEvent, int claims) {
            return (int) Math.min(claims, Math.ceil(lostEvents * evictionsPerEvent));
        }
    };

    /**
     * Returns how many of the least recently used claims are void after a gap.
     *
     * @param lostEvents the number of missing events, at least 1
     * @param evictionsPerEvent the mean number of evicted keys in the events seen, 0 or more
     * @param claims the number of claims held
     * @return 0 up to {@code claims}
     */
    abstract int voidedClaims(long lostEvents, double evictionsPerEvent, int claims);
}

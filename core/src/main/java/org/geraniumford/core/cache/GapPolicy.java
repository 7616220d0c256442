package org.geraniumford.core.cache;

/** How many claims of a cache index are voided when events are missing. */
public enum GapPolicy {
    /** Voids every claim. */
    DROP_ALL {
        @Override
        int voidedClaims(long lostEvents, double evictionsPerEvent, int claims) {
            return claims;
        }
    },
    /** Voids no claim, so that claims of blocks whose eviction event was lost remain. */
    IGNORE {
        @Override
        int voidedClaims(long lostEvents, double evictionsPerEvent, int claims) {
            return 0;
        }
    },
    /**
     * Voids the claims of the blocks that were probably evicted during the gap. Engines evict the least recently used
     * blocks, and the lost events are assumed to report as many evictions on average as the applied events did.
     */
    VOID_AFFECTED {
        @Override
        int voidedClaims(long lostEvents, double evictionsPerEvent, int claims) {
            return (int) Math.min(claims, Math.ceil(lostEvents * evictionsPerEvent));
        }
    };

    /**
     * Returns how many of the least recently used claims are voided after a gap.
     *
     * @param lostEvents the number of missing events, at least 1
     * @param evictionsPerEvent the mean number of evicted blocks in the applied events, 0 or more
     * @param claims the number of claims in the index
     * @return 0 up to {@code claims}
     */
    abstract int voidedClaims(long lostEvents, double evictionsPerEvent, int claims);
}

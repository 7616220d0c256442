package org.geraniumford.core.cache;

/** What becomes of the index when events are missing. */
public enum GapPolicy {
    /** Voids every claim. */
    DROP_ALL {
        @Override
        int voided(long lostEvents, int keysPerEvent, int claims) {
            return claims;
        }
    },
    /** Voids nothing, so that claims of pieces whose eviction was lost stay. */
    IGNORE {
        @Override
        int voided(long lostEvents, int keysPerEvent, int claims) {
            return 0;
        }
    },
    /**
     * Voids the claims that the lost events could have changed: engines evict the least recently used pieces, and no
     * event names more pieces than the largest one seen.
     */
    VOID_AFFECTED {
        @Override
        int voided(long lostEvents, int keysPerEvent, int claims) {
            return (int) Math.min(claims, lostEvents * keysPerEvent);
        }
    };

    /**
     * Returns how many of the least recently used claims are void after a gap.
     *
     * @param lostEvents the number of missing events, at least 1
     * @param keysPerEvent the largest number of keys seen in one event, at least 1
     * @param claims the number of claims held
     * @return 0 up to {@code claims}
     */
    abstract int voided(long lostEvents, int keysPerEvent, int claims);
}

package org.geraniumford.core.cache;

/**
 * Counts of the irregularities that a cache index has observed since its creation. A claim of the index records one
 * block that the engine is assumed to have cached.
 *
 * @param gaps the number of gaps in the event stream
 * @param lostEvents the number of events missing in these gaps
 * @param voidedClaims the number of claims that were voided after gaps
 * @param staleEvents the number of events, responses and snapshots of older incarnations that were dropped
 * @param lateEvents the number of events that arrived after a later event
 * @param wrongClaims the number of claimed blocks that the engine turned out not to have cached
 */
public record CacheCounts(
        long gaps, long lostEvents, long voidedClaims, long staleEvents, long lateEvents, long wrongClaims) {
    /** The counts of a new index. */
    public static final CacheCounts ZERO = new CacheCounts(0, 0, 0, 0, 0, 0);

    CacheCounts plusGap(long lost, long voided) {
        return new CacheCounts(
                gaps + 1, lostEvents + lost, voidedClaims + voided, staleEvents, lateEvents, wrongClaims);
    }

    CacheCounts plusStale() {
        return new CacheCounts(gaps, lostEvents, voidedClaims, staleEvents + 1, lateEvents, wrongClaims);
    }

    CacheCounts plusLate() {
        return new CacheCounts(gaps, lostEvents, voidedClaims, staleEvents, lateEvents + 1, wrongClaims);
    }

    CacheCounts plusWrong(long wrong) {
        return new CacheCounts(gaps, lostEvents, voidedClaims, staleEvents, lateEvents, wrongClaims + wrong);
    }
}

package org.geraniumford.core.cache;

/**
 * What an index has met since its start.
 *
 * @param gaps how often events were missing
 * @param lostEvents how many events were missing
 * @param voidedClaims how many claims were void after gaps
 * @param staleEvents how many events and answers of older incarnations were dropped
 * @param lateEvents how many events came after a later one
 * @param wrongClaims how many claimed pieces the engine turned out not to hold
 */
public record CacheCounts(
        long gaps, long lostEvents, long voidedClaims, long staleEvents, long lateEvents, long wrongClaims) {
    /** No event met yet. */
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

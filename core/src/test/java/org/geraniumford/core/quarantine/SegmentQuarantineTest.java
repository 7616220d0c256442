package org.geraniumford.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.geraniumford.core.prompt.PromptSegment;
import org.geraniumford.core.prompt.PromptSpec;
import org.junit.jupiter.api.Test;

final class SegmentQuarantineTest {
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1000 * MILLI;
    private static final long MINUTE = 60 * SECOND;
    private static final List<Long> BAD = List.of(7L);
    private static final List<Long> BAD_AND_SHARED = List.of(1L, 7L, 2L);

    private final RecordedChanges changes = new RecordedChanges();
    private final SegmentQuarantine quarantine = SegmentQuarantine.empty("entry-1", changes);
    private final SegmentQuarantine peer = SegmentQuarantine.empty("entry-2", new RecordedChanges());
    private long nextServer = 100;

    /** An attempt that begins and under which an engine ends at the same time. */
    private void endEngine(SegmentQuarantine at, List<Long> segments, long nowNanos) {
        PromptUse use = at.begin(segments, nowNanos);
        at.recordEngineEnd(use, nextServer++, nowNanos);
        at.release(use);
    }

    private void endEngines(int count, List<Long> segments, long nowNanos) {
        IntStream.range(0, count).forEach(i -> endEngine(quarantine, segments, nowNanos));
    }

    private void tell(SegmentQuarantine from, SegmentQuarantine to, long nowNanos) {
        to.applyGossip(from == peer ? "entry-2" : "entry-1", from.gossip(nowNanos), nowNanos);
    }

    private static Duration holdLeft(SegmentQuarantine at, List<Long> segments, long nowNanos) {
        return at.decide(segments, nowNanos) instanceof QuarantineDecision.Held held
                ? held.retryAfter()
                : Duration.ZERO;
    }

    private static boolean isTrial(SegmentQuarantine at, List<Long> segments, long nowNanos) {
        return at.decide(segments, nowNanos) instanceof QuarantineDecision.Suspected suspected && suspected.trial();
    }

    /** Guards against two trials of one segment, because the turns count from when the news arrived. */
    @Test
    void shouldNotLetTwoEntriesTryAtOneTimeWhenTheNewsOfTheHoldCameLate() {
        quarantine.updatePeers(List.of("entry-2"));
        peer.updatePeers(List.of("entry-1"));
        endEngines(2, BAD, 0);
        QuarantineGossip news = quarantine.gossip(0);
        peer.applyGossip("entry-1", news, 500 * MILLI);
        LongStream.range(20, 80)
                .map(tenths -> tenths * 100 * MILLI)
                .forEach(nowNanos -> assertThat(isTrial(quarantine, BAD, nowNanos) && isTrial(peer, BAD, nowNanos))
                        .as("two trials after %s ms", nowNanos / MILLI)
                        .isFalse());
    }

    // -- counting

    @Test
    void shouldLetARequestBeginAgainAfterTheFirstEndAndHoldItAfterTheSecond() {
        assertThat(quarantine.decide(BAD, 0)).isInstanceOf(QuarantineDecision.Unsuspected.class);
        endEngines(1, BAD, 0);
        assertThat(quarantine.decide(BAD, 0)).isEqualTo(new QuarantineDecision.Suspected(7, 1, false));
        endEngines(1, BAD, SECOND);
        assertThat(quarantine.decide(BAD, SECOND)).isEqualTo(new QuarantineDecision.Held(7, 2, Duration.ofSeconds(2)));
        assertThat(changes.heldCounts()).containsExactly(2);
    }

    @Test
    void shouldCountOnceWhenEnginesEndUnderRequestsThatWereInProgressTogether() {
        List<PromptUse> uses =
                IntStream.range(0, 5).mapToObj(i -> quarantine.begin(BAD, 0)).toList();
        uses.forEach(use -> quarantine.recordEngineEnd(use, nextServer++, SECOND));
        assertThat(quarantine.count(7, SECOND)).isEqualTo(1);
    }

    @Test
    void shouldCountOnceWhenAnEngineEndsUnderSeveralRequests() {
        PromptUse first = quarantine.begin(BAD, 0);
        quarantine.recordEngineEnd(first, 5, SECOND);
        PromptUse second = quarantine.begin(BAD, 2 * SECOND);
        quarantine.recordEngineEnd(second, 5, 3 * SECOND);
        assertThat(quarantine.count(7, 3 * SECOND)).isEqualTo(1);
    }

    @Test
    void shouldClearAllSegmentsOfAPromptWhenAResponseBegins() {
        endEngines(2, BAD_AND_SHARED, 0);
        PromptUse sound = quarantine.begin(List.of(1L, 2L), SECOND);
        quarantine.recordFirstEvent(sound, SECOND);
        assertThat(quarantine.decide(List.of(1L, 2L), SECOND)).isInstanceOf(QuarantineDecision.Unsuspected.class);
        assertThat(quarantine.count(7, SECOND)).isEqualTo(2);
        assertThat(changes.releases()).isEqualTo(2);
    }

    @Test
    void shouldCountFromOneAgainWhenAnEngineEndsAfterAResponseBegan() {
        PromptUse inProgress = quarantine.begin(BAD, 0);
        endEngines(2, BAD, 0);
        quarantine.recordFirstEvent(quarantine.begin(BAD, SECOND), SECOND);
        quarantine.recordEngineEnd(inProgress, nextServer++, 3 * SECOND);
        assertThat(quarantine.count(7, 3 * SECOND)).isEqualTo(1);
    }

    /** Guards against sound segments that are held because they are used together with a bad one. */
    @Test
    void shouldNotCountAnEndAgainstASegmentWithWhichAResponseHasJustBegun() {
        quarantine.recordFirstEvent(quarantine.begin(List.of(1L), 0), 0);
        endEngines(1, BAD_AND_SHARED, SECOND);
        assertThat(quarantine.count(7, SECOND)).isEqualTo(1);
        assertThat(quarantine.count(1, SECOND)).isZero();
        endEngines(1, BAD_AND_SHARED, SECOND + 1);
        assertThat(quarantine.count(1, SECOND + 1)).isEqualTo(1);
    }

    @Test
    void shouldRefuteThePeersSuspicionOfASegmentWithWhichAResponseHasJustBegun() {
        quarantine.recordFirstEvent(quarantine.begin(List.of(1L), 0), 0);
        IntStream.range(0, 2).forEach(i -> endEngine(peer, List.of(1L), SECOND));
        tell(peer, quarantine, SECOND);
        tell(quarantine, peer, SECOND);
        assertThat(quarantine.count(1, SECOND)).isZero();
        assertThat(peer.count(1, SECOND)).isZero();
        assertThat(changes.changes()).isEqualTo(1);
    }

    // -- holds and trials

    @Test
    void shouldHoldForLongerWithEachEnd() {
        List<Duration> holds = List.of(
                Duration.ofSeconds(2),
                Duration.ofSeconds(60),
                Duration.ofMinutes(10),
                Duration.ofHours(2),
                Duration.ofHours(24),
                Duration.ofHours(24));
        endEngines(1, BAD, 0);
        for (Duration hold : holds) {
            endEngines(1, BAD, 0);
            assertThat(holdLeft(quarantine, BAD, 0)).isEqualTo(hold);
            assertThat(isTrial(quarantine, BAD, hold.toNanos() - 1)).isFalse();
            assertThat(isTrial(quarantine, BAD, hold.toNanos())).isTrue();
        }
    }

    @Test
    void shouldLetOneRequestTryAtATimeAndTheNextWhenItEndsWithoutASign() {
        endEngines(2, BAD, 0);
        PromptUse trial = quarantine.begin(BAD, 2 * SECOND);
        assertThat(holdLeft(quarantine, BAD, 2 * SECOND)).isEqualTo(Duration.ofMillis(250));
        quarantine.release(trial);
        assertThat(isTrial(quarantine, BAD, 2 * SECOND)).isTrue();
    }

    @Test
    void shouldHoldRequestsWhileAPeerHasATrialUntilItLapses() {
        endEngines(2, BAD, 0);
        tell(quarantine, peer, 0);
        peer.begin(BAD, 3 * SECOND);
        assertThat(isTrial(quarantine, BAD, 3 * SECOND)).isTrue();
        tell(peer, quarantine, 3 * SECOND);
        assertThat(isTrial(quarantine, BAD, 6 * SECOND)).isFalse();
        assertThat(isTrial(quarantine, BAD, 6 * SECOND + 1)).isTrue();
    }

    @Test
    void shouldAccuseOnlyTheSegmentOnTrialWhenItsTrialEndsAnEngine() {
        endEngines(2, BAD, 0);
        endEngine(quarantine, BAD_AND_SHARED, 2 * SECOND);
        assertThat(quarantine.count(7, 2 * SECOND)).isEqualTo(3);
        assertThat(quarantine.count(1, 2 * SECOND)).isZero();
    }

    /** Guards against a sound segment that is held for longer because a request tried it together with a bad one. */
    @Test
    void shouldTryASegmentAloneBeforeTogetherWithOtherHeldOnes() {
        endEngines(2, BAD_AND_SHARED, 0);
        assertThat(isTrial(quarantine, List.of(1L), 2 * SECOND)).isTrue();
        assertThat(isTrial(quarantine, BAD_AND_SHARED, 6 * SECOND - 1)).isFalse();
        assertThat(isTrial(quarantine, BAD_AND_SHARED, 6 * SECOND)).isTrue();
    }

    @Test
    void shouldLetOnlyOneOfTheLiveEntriesTryFromTheThirdEndOn() {
        endEngines(3, BAD, 0);
        tell(quarantine, peer, 0);
        quarantine.updatePeers(List.of("entry-2"));
        peer.updatePeers(List.of("entry-1"));
        long afterHold = 2 * MINUTE;
        assertThat(isTrial(quarantine, BAD, afterHold)).isNotEqualTo(isTrial(peer, BAD, afterHold));
        quarantine.updatePeers(List.of());
        assertThat(isTrial(quarantine, BAD, afterHold)).isTrue();
    }

    @Test
    void shouldLetTheEntriesTryOneAfterTheOtherAfterTheSecondEnd() {
        endEngines(2, BAD, 0);
        tell(quarantine, peer, 0);
        quarantine.updatePeers(List.of("entry-2"));
        peer.updatePeers(List.of("entry-1"));
        boolean first = isTrial(quarantine, BAD, 2 * SECOND);
        assertThat(isTrial(peer, BAD, 2 * SECOND)).isNotEqualTo(first);
        assertThat(isTrial(quarantine, BAD, 2500 * MILLI)).isNotEqualTo(first);
        assertThat(isTrial(peer, BAD, 2500 * MILLI)).isEqualTo(first);
        assertThat(holdLeft(first ? quarantine : peer, BAD, 2500 * MILLI)).isEqualTo(Duration.ofMillis(500));
        assertThat(isTrial(quarantine, BAD, 8 * SECOND)).isTrue();
        assertThat(isTrial(peer, BAD, 8 * SECOND)).isTrue();
    }

    // -- gossip

    @Test
    void shouldHoldAtAPeerThatHeardOfEndsAtSeveralEntries() {
        endEngines(1, BAD, 0);
        tell(quarantine, peer, MILLI);
        endEngine(peer, BAD, SECOND);
        tell(peer, quarantine, SECOND);
        assertThat(quarantine.count(7, SECOND)).isEqualTo(2);
        assertThat(peer.count(7, SECOND)).isEqualTo(2);
    }

    @Test
    void shouldReleaseAtAPeerThatHearsOfAResponse() {
        endEngines(2, BAD, 0);
        tell(quarantine, peer, 0);
        quarantine.recordFirstEvent(quarantine.begin(BAD, 3 * SECOND), 3 * SECOND);
        tell(quarantine, peer, 3 * SECOND);
        assertThat(peer.count(7, 3 * SECOND)).isZero();
    }

    @Test
    void shouldAnnounceAHeldSegmentAlwaysAndOthersForTwoSeconds() {
        endEngines(1, List.of(1L), 0);
        endEngines(2, BAD, 0);
        assertThat(quarantine.gossip(SECOND).suspects()).hasSize(2);
        assertThat(quarantine.gossip(3 * SECOND).suspects()).hasSize(1);
        tell(quarantine, peer, MINUTE);
        assertThat(peer.count(7, MINUTE)).isEqualTo(2);
    }

    /** Guards against a segment held for days by entries that missed the one announcement of a response. */
    @Test
    void shouldAnnounceAClearedSegmentAgainWhenAPeerStillHoldsIt() {
        endEngines(2, BAD, 0);
        tell(quarantine, peer, 0);
        quarantine.recordFirstEvent(quarantine.begin(BAD, 3 * SECOND), 3 * SECOND);
        tell(peer, quarantine, 10 * SECOND);
        tell(quarantine, peer, 10 * SECOND);
        assertThat(peer.count(7, 10 * SECOND)).isZero();
    }

    /** Guards against holds that are extended without end by entries that repeat each other's announcements. */
    @Test
    void shouldNotExtendAHoldWhenEntriesRepeatWhatOthersAnnounced() {
        endEngines(2, BAD, 0);
        QuarantineGossip delayed = quarantine.gossip(0);
        peer.applyGossip("entry-1", delayed, 500 * MILLI);
        tell(peer, quarantine, 600 * MILLI);
        assertThat(isTrial(quarantine, BAD, 2 * SECOND)).isTrue();
    }

    @Test
    void shouldReportOnlyOwnObservationsAsChangesToAnnounceAtOnce() {
        endEngine(peer, BAD, 0);
        tell(peer, quarantine, 0);
        assertThat(changes.changes()).isZero();
        endEngines(1, BAD, 0);
        assertThat(changes.changes()).isEqualTo(1);
    }

    // -- bounds

    @Test
    void shouldForgetAnEndAfterTenMinutesAndAHeldSegmentAfterTwoDays() {
        endEngines(1, List.of(1L), 0);
        endEngines(2, BAD, 0);
        assertThat(quarantine.count(1, 10 * MINUTE)).isEqualTo(1);
        assertThat(quarantine.count(1, 10 * MINUTE + 1)).isZero();
        assertThat(quarantine.count(7, 48 * 60 * MINUTE)).isEqualTo(2);
        assertThat(quarantine.count(7, 48 * 60 * MINUTE + 1)).isZero();
    }

    @Test
    void shouldKeepTheMostSuspectSegmentsWhenEnginesEndUnderVeryMany() {
        endEngines(2, BAD, 0);
        LongStream.range(1000, 2000).forEach(segment -> endEngines(1, List.of(segment), segment * MILLI));
        long now = 3 * SECOND;
        assertThat(quarantine.size()).isEqualTo(256);
        assertThat(quarantine.count(7, now)).isEqualTo(2);
        assertThat(quarantine.count(1999, now)).isEqualTo(1);
        assertThat(quarantine.count(1000, now)).isZero();
        assertThat(quarantine.gossip(now).suspects()).hasSize(64);
        assertThat(quarantine.gossip(now).suspects().get(0).segment()).isEqualTo(7);
    }

    @Test
    void shouldTakeTheFirstSharedSegmentsOfAPromptAndNeverTheLast() {
        List<PromptSegment> segments = IntStream.range(0, 40)
                .mapToObj(i -> new PromptSegment("s" + i, 10))
                .toList();
        PromptSpec prompt = new PromptSpec("model", 100, 10, segments);
        assertThat(SegmentKeys.shared(prompt)).hasSize(16);
        assertThat(SegmentKeys.shared(new PromptSpec("model", 100, 10, segments.subList(0, 2))))
                .isEqualTo(SegmentKeys.shared(prompt).subList(0, 1));
        assertThat(SegmentKeys.shared(new PromptSpec("model", 100, 10, segments.subList(0, 1))))
                .isEmpty();
        assertThat(SegmentKeys.shared(new PromptSpec("other", 100, 10, segments)))
                .doesNotContainAnyElementsOf(SegmentKeys.shared(prompt));
    }

    // -- requests

    private void endEngine(RequestKeys keys, long nowNanos) {
        PromptUse use = quarantine.begin(keys, nowNanos);
        quarantine.recordEngineEnd(use, nextServer++, nowNanos);
        quarantine.release(use);
    }

    @Test
    void shouldHoldARequestWithoutAPromptWhenServersEndedUnderItTwice() {
        RequestKeys bad = new RequestKeys(List.of(), OptionalLong.of(9));
        endEngine(bad, 0);
        assertThat(quarantine.decide(bad, 0)).isEqualTo(new QuarantineDecision.Suspected(9, 1, false));
        endEngine(bad, SECOND);
        assertThat(quarantine.decide(bad, SECOND)).isEqualTo(new QuarantineDecision.Held(9, 2, Duration.ofSeconds(2)));
        assertThat(quarantine.decide(new RequestKeys(List.of(), OptionalLong.of(10)), SECOND))
                .isInstanceOf(QuarantineDecision.Unsuspected.class);
    }

    @Test
    void shouldNotHoldTheSegmentsOfARequestThatEndsServersAgainAndAgain() {
        RequestKeys bad = new RequestKeys(List.of(1L, 2L), OptionalLong.of(9));
        endEngine(bad, 0);
        endEngine(bad, SECOND);
        endEngine(bad, 10 * SECOND);
        assertThat(quarantine.count(9, 10 * SECOND)).isEqualTo(3);
        assertThat(quarantine.decide(new RequestKeys(List.of(1L, 2L), OptionalLong.of(10)), 10 * SECOND))
                .isEqualTo(new QuarantineDecision.Suspected(1, 1, false));
    }

    @Test
    void shouldHoldASegmentWhenServersEndUnderDifferentRequestsWithIt() {
        endEngine(new RequestKeys(List.of(7L), OptionalLong.of(9)), 0);
        endEngine(new RequestKeys(List.of(7L), OptionalLong.of(10)), SECOND);
        assertThat(quarantine.decide(new RequestKeys(List.of(7L), OptionalLong.of(11)), SECOND))
                .isEqualTo(new QuarantineDecision.Held(7, 2, Duration.ofSeconds(2)));
    }

    @Test
    void shouldClearARequestWhenAResponseToItBegins() {
        RequestKeys sound = new RequestKeys(List.of(), OptionalLong.of(9));
        endEngine(sound, 0);
        quarantine.recordFirstEvent(quarantine.begin(sound, SECOND), SECOND);
        assertThat(quarantine.decide(sound, SECOND)).isInstanceOf(QuarantineDecision.Unsuspected.class);
    }

    @Test
    void shouldAccuseARequestWhoseKeyWasNotNeededWhenItBegan() {
        PromptUse use = quarantine.begin(List.of(), 0).withRequest(9);
        quarantine.recordEngineEnd(use, nextServer++, SECOND);
        assertThat(quarantine.count(9, SECOND)).isEqualTo(1);
    }
}

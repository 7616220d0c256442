package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.geraniumford.core.prompt.PromptSegment;
import org.junit.jupiter.api.Test;

final class CacheEstimateTest {
    // Ordered from the segment that most prompts share to the segments of single requests.
    private static final PromptSegment COMMON = new PromptSegment("house", 2520);
    private static final PromptSegment SESSION = new PromptSegment("session", 3780);
    private static final PromptSegment REQUEST = new PromptSegment("own", 2890);
    private static final PromptSegment OTHER_REQUEST = new PromptSegment("other", 100);

    private final CacheEstimate estimate = CacheEstimate.empty(10_000);

    private static List<ScopedSegment> scoped(String scope, List<PromptSegment> segments) {
        return segments.stream()
                .map(segment -> ScopedSegment.of(scope, segment))
                .toList();
    }

    @Test
    void shouldCountLeadingTokensWhenSegmentsWerePrefilled() {
        estimate.recordPrefilled(scoped("scope", List.of(COMMON, SESSION, REQUEST)));
        assertThat(estimate.cachedTokens(scoped("scope", List.of(COMMON, SESSION, OTHER_REQUEST))))
                .isEqualTo(6300);
        assertThat(estimate.cachedTokens(scoped("scope", List.of(COMMON, OTHER_REQUEST))))
                .isEqualTo(2520);
        assertThat(estimate.cachedTokens(scoped("other", List.of(COMMON, SESSION, REQUEST))))
                .isZero();
    }

    @Test
    void shouldCountTokensPrefilledForAPeerWhenItAnnouncesTheLastTwoSegmentsOfItsPrompt() {
        CacheEstimate peer = CacheEstimate.empty(10_000);
        estimate.recordPrefilled(scoped("scope", List.of(COMMON, SESSION, REQUEST)));
        assertThat(estimate.unannounced()).hasSize(2);
        peer.applyGossip(estimate.unannounced());
        assertThat(peer.cachedTokens(scoped("scope", List.of(COMMON, SESSION, OTHER_REQUEST))))
                .isEqualTo(6300);
        assertThat(peer.unannounced()).isEmpty();
        estimate.markAnnounced();
        assertThat(estimate.unannounced()).isEmpty();
    }

    @Test
    void shouldEvictTheLeastRecentlyUsedSegmentsWhenTheCapacityIsExceeded() {
        estimate.recordPrefilled(scoped("scope", List.of(SESSION, REQUEST)));
        estimate.recordPrefilled(scoped("scope", List.of(new PromptSegment("second", 3780))));
        assertThat(estimate.cachedTokens(scoped("scope", List.of(SESSION)))).isZero();
        assertThat(estimate.cachedTokens(scoped("scope", List.of(REQUEST)))).isEqualTo(2890);
    }

    @Test
    void shouldCountNoTokensWhenTheEngineLoadedOtherWeights() {
        estimate.recordPrefilled(scoped("scope", List.of(SESSION)));
        estimate.clear();
        assertThat(estimate.cachedTokens(scoped("scope", List.of(SESSION)))).isZero();
        assertThat(estimate.unannounced()).isEmpty();
    }

    @Test
    void shouldBoundUnannouncedSegmentsWhenNoGossipIsSent() {
        for (int i = 0; i < 500; i++) {
            estimate.recordPrefilled(scoped("scope", List.of(new PromptSegment("part-" + i, 10))));
        }
        assertThat(estimate.unannounced()).hasSize(64);
    }
}

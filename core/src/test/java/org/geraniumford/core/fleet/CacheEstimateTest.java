package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.geraniumford.core.prompt.PromptSegment;
import org.junit.jupiter.api.Test;

final class CacheEstimateTest {
    private static final PromptSegment HOUSE = new PromptSegment("house", 2520);
    private static final PromptSegment SESSION = new PromptSegment("session", 3780);
    private static final PromptSegment OWN = new PromptSegment("own", 2890);
    private static final PromptSegment OTHER = new PromptSegment("other", 100);

    private final CacheEstimate cache = CacheEstimate.empty(10_000);

    private static List<ScopedSegment> scoped(String scope, List<PromptSegment> parts) {
        return parts.stream().map(part -> ScopedSegment.of(scope, part)).toList();
    }

    @Test
    void shouldCountTheLeadingPartsThatWereRead() {
        cache.recordPrefilled(scoped("scope", List.of(HOUSE, SESSION, OWN)));
        assertThat(cache.cachedTokens(scoped("scope", List.of(HOUSE, SESSION, OTHER))))
                .isEqualTo(6300);
        assertThat(cache.cachedTokens(scoped("scope", List.of(HOUSE, OTHER)))).isEqualTo(2520);
        assertThat(cache.cachedTokens(scoped("other", List.of(HOUSE, SESSION, OWN))))
                .isZero();
    }

    @Test
    void shouldKnowWhatAnotherEntryHadReadFromTwoPartsOfItsPrompt() {
        CacheEstimate peer = CacheEstimate.empty(10_000);
        cache.recordPrefilled(scoped("scope", List.of(HOUSE, SESSION, OWN)));
        assertThat(cache.unannounced()).hasSize(2);
        peer.applyGossip(cache.unannounced());
        assertThat(peer.cachedTokens(scoped("scope", List.of(HOUSE, SESSION, OTHER))))
                .isEqualTo(6300);
        assertThat(peer.unannounced()).isEmpty();
        cache.markAnnounced();
        assertThat(cache.unannounced()).isEmpty();
    }

    @Test
    void shouldForgetTheLeastRecentlyUsedPartsFirst() {
        cache.recordPrefilled(scoped("scope", List.of(SESSION, OWN)));
        cache.recordPrefilled(scoped("scope", List.of(new PromptSegment("second", 3780))));
        assertThat(cache.cachedTokens(scoped("scope", List.of(SESSION)))).isZero();
        assertThat(cache.cachedTokens(scoped("scope", List.of(OWN)))).isEqualTo(2890);
    }

    @Test
    void shouldHoldNothingAfterTheEngineLoadedOtherWeights() {
        cache.recordPrefilled(scoped("scope", List.of(SESSION)));
        cache.clear();
        assertThat(cache.cachedTokens(scoped("scope", List.of(SESSION)))).isZero();
        assertThat(cache.unannounced()).isEmpty();
    }

    @Test
    void shouldStayBoundedWhenNoPulseTakesTheFreshParts() {
        for (int i = 0; i < 500; i++) {
            cache.recordPrefilled(scoped("scope", List.of(new PromptSegment("part-" + i, 10))));
        }
        assertThat(cache.unannounced()).hasSize(64);
    }
}

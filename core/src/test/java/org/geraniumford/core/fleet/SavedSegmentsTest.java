package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.geraniumford.core.prompt.PromptSegment;
import org.junit.jupiter.api.Test;

final class SavedSegmentsTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final List<ScopedSegment> SHARED = scoped("scope");

    private final SavedSegments savedSegments = SavedSegments.empty();

    private static List<ScopedSegment> scoped(String scope) {
        return List.of(
                ScopedSegment.of(scope, new PromptSegment("aa", 2520)),
                ScopedSegment.of(scope, new PromptSegment("bb", 3780)));
    }

    @Test
    void shouldReturnTheFirstSegmentThatNoEngineHasSaved() {
        assertThat(savedSegments.firstUnsaved(SHARED)).hasValue(SHARED.get(0).key());
        savedSegments.recordSaved(SHARED.subList(0, 1), 0);
        assertThat(savedSegments.firstUnsaved(SHARED)).hasValue(SHARED.get(1).key());
        savedSegments.recordSaved(SHARED, 0);
        assertThat(savedSegments.firstUnsaved(SHARED)).isEmpty();
        assertThat(savedSegments.firstUnsaved(scoped("other")))
                .hasValue(scoped("other").get(0).key());
    }

    @Test
    void shouldSaveASegmentOnceForAllEntriesAndAgainWhenItMayHaveBeenEvicted() {
        SavedSegments peer = SavedSegments.empty();
        assertThat(peer.isSaveDue(SHARED, 0)).isTrue();
        savedSegments.recordSaved(SHARED, 0);
        peer.applyGossip(savedSegments.unannounced(), 0);
        assertThat(peer.isSaveDue(SHARED, 19 * NANOS_PER_SECOND)).isFalse();
        assertThat(peer.isSaveDue(SHARED, 21 * NANOS_PER_SECOND)).isTrue();
        assertThat(peer.firstUnsaved(SHARED)).isEmpty();
    }

    @Test
    void shouldAnnounceEachSegmentOnceAndNoneThatAPeerAnnounced() {
        savedSegments.applyGossip(List.of(1L, 2L), 0);
        assertThat(savedSegments.unannounced()).isEmpty();
        savedSegments.recordSaved(SHARED, 0);
        assertThat(savedSegments.unannounced()).hasSize(2);
        savedSegments.markAnnounced();
        assertThat(savedSegments.unannounced()).isEmpty();
    }

    @Test
    void shouldContainNoSegmentsWhenTheStoreWasLost() {
        savedSegments.recordSaved(SHARED, 0);
        savedSegments.clear();
        assertThat(savedSegments.isSaveDue(SHARED, 0)).isTrue();
        assertThat(savedSegments.unannounced()).isEmpty();
    }

    @Test
    void shouldBoundUnannouncedSegmentsWhenNoGossipIsSent() {
        for (int i = 0; i < 3000; i++) {
            savedSegments.recordSaved(scoped("scope-" + i), 0);
        }
        assertThat(savedSegments.unannounced()).hasSize(1024);
    }
}

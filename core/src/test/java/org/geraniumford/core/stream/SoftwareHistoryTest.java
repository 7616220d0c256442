package org.geraniumford.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class SoftwareHistoryTest {
    private static Map<String, Set<String>> listed(String... versions) {
        return Map.of("service", Set.of(versions));
    }

    private static SoftwareHistory begun(long millis, String... versions) {
        return SoftwareHistory.empty().observe(listed(versions), millis);
    }

    @Test
    void shouldKnowAVersionUntilItsLastServerHasLeftForLongerThanMatters() {
        SoftwareHistory history =
                begun(100, "v1").observe(listed("v1", "v2"), 5000).observe(listed("v2"), 8000);
        assertThat(history.versionsSince("service", 8000)).containsExactlyInAnyOrder("v1", "v2");
        assertThat(history.versionsSince("service", 8001)).containsExactly("v2");
        assertThat(history.versionsSince("other", 0)).isEmpty();
    }

    @Test
    void shouldReachBackToTheFirstLook() {
        SoftwareHistory history = begun(100, "v1").observe(listed("v2"), 5000);
        assertThat(history.reachesBackTo("service", 99)).isFalse();
        assertThat(history.reachesBackTo("service", 100)).isTrue();
        assertThat(history.reachesBackTo("other", 100)).isFalse();
    }

    @Test
    void shouldKnowAVersionThatHasReturned() {
        SoftwareHistory history = begun(100, "v1").observe(listed("v2"), 5000).observe(listed("v1", "v2"), 6000);
        assertThat(history.versionsSince("service", 100_000)).containsExactlyInAnyOrder("v1", "v2");
    }

    /** Only then do entries have to look at what others have made of the history. */
    @Test
    void shouldTellWhetherSomeServiceHasOrHadSeveralVersions() {
        Map<String, Set<String>> twoServices = Map.of("service", Set.of("v1"), "other", Set.of("v2"));
        assertThat(SoftwareHistory.empty().observe(twoServices, 100).hasSeveralVersions())
                .isFalse();
        SoftwareHistory replaced = begun(100, "v1").observe(listed("v2"), 5000);
        assertThat(replaced.hasSeveralVersions()).isTrue();
        assertThat(replaced.observe(listed("v2"), 125_001).hasSeveralVersions()).isFalse();
    }

    @Test
    void shouldForgetAVersionTwoMinutesAfterItsLastServerHasLeft() {
        SoftwareHistory history = begun(100, "v1").observe(listed("v2"), 5000);
        assertThat(history.observe(listed("v2"), 125_000).versionsSince("service", 0))
                .containsExactlyInAnyOrder("v1", "v2");
        assertThat(history.observe(listed("v2"), 125_001).versionsSince("service", 0))
                .containsExactly("v2");
    }

    @Test
    void shouldStayTheSameObjectWhileNothingChanges() {
        SoftwareHistory history = begun(100, "v1", "v2");
        assertThat(history.observe(listed("v2", "v1"), 7000)).isSameAs(history);
    }

    @Test
    void shouldKnowWhatEitherOfTwoHistoriesKnows() {
        SoftwareHistory ended = begun(100, "v1").observe(listed(), 5000);
        SoftwareHistory joined = ended.joinedWith(begun(300, "v1", "v2"));
        assertThat(joined.versionsSince("service", 9000)).containsExactlyInAnyOrder("v1", "v2");
        assertThat(joined.reachesBackTo("service", 100)).isTrue();
    }

    @Property(seed = "59", tries = 500)
    void shouldDecodeWhatWasEncodedWhateverTheNames(@ForAll String service, @ForAll String version) {
        SoftwareHistory history = SoftwareHistory.empty()
                .observe(Map.of(service, Set.of(version + "-", "")), 7)
                .observe(Map.of(service, Set.of("")), 9);
        assertThat(SoftwareHistory.decode(history.encode())).contains(history);
    }

    @Property(seed = "59", tries = 500)
    void shouldNeverThrowWhateverItDecodes(@ForAll String text) {
        SoftwareHistory.decode(text)
                .ifPresent(history ->
                        assertThat(SoftwareHistory.decode(history.encode())).contains(history));
        StreamBatch.decode(text);
    }

    @Property(seed = "59", tries = 500)
    void shouldDecodeABatchWhateverTheNames(@ForAll long key, @ForAll String service, @ForAll String version) {
        StreamBatch batch = new StreamBatch(
                5, List.of(new StreamOrigin(key, service, version, 3), new StreamOrigin(~key, "", "", -4)));
        assertThat(StreamBatch.decode(batch.encode())).contains(batch);
    }
}

package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumford.core.prompt.PromptSegment;
import org.geraniumford.core.service.CacheStore;
import org.junit.jupiter.api.Test;

final class CacheStoresTest {
    private static final List<CacheStore> THREE = Stream.of("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
            .map(address -> new CacheStore(address, "domain"))
            .toList();

    private final CacheStores stores = configured(THREE);

    private static CacheStores configured(List<CacheStore> configuration) {
        CacheStores stores = CacheStores.empty();
        stores.configure(configuration);
        return stores;
    }

    private static List<ScopedSegment> prefix(int session) {
        return List.of(
                ScopedSegment.of("scope", new PromptSegment("house", 2520)),
                ScopedSegment.of("scope", new PromptSegment("session-" + session, 3780)));
    }

    private static String addressOf(CacheStores stores, int session) {
        return stores.storeOf(prefix(session)).orElseThrow().address();
    }

    @Test
    void shouldReturnTheSameStoreForAPrefixInWhateverOrderTheStoresAreConfigured() {
        CacheStores other = configured(List.of(THREE.get(2), THREE.get(0), THREE.get(1)));
        assertThat(IntStream.range(0, 100))
                .allSatisfy(session -> assertThat(addressOf(other, session)).isEqualTo(addressOf(stores, session)));
    }

    @Test
    void shouldSpreadPrefixesOverAllStores() {
        Map<String, Long> counts = IntStream.range(0, 600)
                .mapToObj(session -> addressOf(stores, session))
                .collect(Collectors.groupingBy(address -> address, Collectors.counting()));
        assertThat(counts)
                .hasSize(3)
                .values()
                .allSatisfy(count -> assertThat(count).isBetween(150L, 250L));
    }

    @Test
    void shouldMoveOnlyThePrefixesOfAStoreThatIsLost() {
        Map<Integer, String> before = IntStream.range(0, 100)
                .boxed()
                .collect(Collectors.toMap(session -> session, session -> addressOf(stores, session)));
        String lost = THREE.get(1).address();
        assertThat(stores.setAvailable(lost, false)).isTrue();
        assertThat(before).allSatisfy((session, address) -> {
            if (address.equals(lost)) {
                assertThat(addressOf(stores, session)).isNotEqualTo(lost);
            } else {
                assertThat(addressOf(stores, session)).isEqualTo(address);
            }
        });
        assertThat(stores.setAvailable(lost, true)).isTrue();
        assertThat(before)
                .allSatisfy((session, address) ->
                        assertThat(addressOf(stores, session)).isEqualTo(address));
    }

    /** Guards against fetching a first segment from a store in which only prefixes with other stores were saved. */
    @Test
    void shouldNotCountASegmentAsSavedWhenItWasSavedInAnotherStore() {
        int first = 0;
        int elsewhere = IntStream.range(1, 100)
                .filter(session -> !addressOf(stores, session).equals(addressOf(stores, first)))
                .findFirst()
                .orElseThrow();
        stores.recordSaved(addressOf(stores, first), prefix(first), 0);
        assertThat(stores.isFetchable(prefix(first))).isTrue();
        assertThat(stores.firstUnsaved(prefix(first))).isEmpty();
        assertThat(stores.isSaveDue(prefix(first), 0)).isFalse();
        assertThat(stores.firstUnsaved(prefix(elsewhere))).isPresent();
        stores.recordSaved(addressOf(stores, elsewhere), prefix(elsewhere).subList(1, 2), 0);
        assertThat(stores.isFetchable(prefix(elsewhere))).isFalse();
    }

    @Test
    void shouldReturnNoStoreWhenNoneIsAvailableOrNothingIsShared() {
        assertThat(stores.storeOf(List.of())).isEmpty();
        THREE.forEach(store -> stores.setAvailable(store.address(), false));
        assertThat(stores.storeOf(prefix(1))).isEmpty();
        assertThat(stores.isFetchable(prefix(1))).isFalse();
        assertThat(stores.isSaveDue(prefix(1), 0)).isFalse();
        assertThat(stores.firstUnsaved(prefix(1))).isEmpty();
    }

    @Test
    void shouldForgetSavedSegmentsWhenAStoreWasLost() {
        String address = addressOf(stores, 1);
        stores.recordSaved(address, prefix(1), 0);
        assertThat(stores.setAvailable(address, false)).isTrue();
        assertThat(stores.setAvailable(address, false)).isFalse();
        stores.setAvailable(address, true);
        assertThat(stores.isSaveDue(prefix(1), 0)).isTrue();
    }
}

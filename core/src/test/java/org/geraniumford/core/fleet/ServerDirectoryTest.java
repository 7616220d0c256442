package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ServerDirectoryTest {
    private static final long SECOND = 1_000_000_000L;

    private final ServerDirectory directory = ServerDirectory.empty(name -> Optional.empty());

    private static BackendServer server(String id, long incarnation, boolean leaving) {
        return new BackendServer(id, incarnation, "service", "10.0.0.1:80", "a", 4, leaving, Map.of());
    }

    private List<String> ready() {
        return directory.ready("service").stream()
                .map(state -> state.server().id())
                .toList();
    }

    @Test
    void shouldKeepAServerOutOnceItWasSeenLeaving() {
        directory.listed(server("s", 1, false));
        directory.listed(server("s", 1, true));
        directory.listed(server("s", 1, false));
        assertThat(ready()).isEmpty();
        directory.removed("s", 0);
        directory.listed(server("s", 1, false));
        assertThat(ready()).isEmpty();
    }

    @Test
    void shouldBelieveANewIncarnationOfAServerThatLeft() {
        directory.listed(server("s", 1, true));
        directory.listed(server("s", 2, false));
        assertThat(ready()).containsExactly("s");
    }

    @Test
    void shouldIgnoreAListingOfAnEarlierIncarnation() {
        directory.listed(server("s", 2, false));
        directory.listed(server("s", 1, true));
        assertThat(ready()).containsExactly("s");
    }

    @Test
    void shouldForgetARemovedServerAtOnceWhenTheListIsSound() {
        directory.listed(server("s", 1, false));
        directory.removed("s", 100 * SECOND);
        assertThat(ready()).isEmpty();
    }

    @Test
    void shouldKeepAMissingServerForAWhileAfterAnOutage() {
        directory.listed(server("s", 1, false));
        directory.listed(server("t", 1, false));
        directory.outageEnded(100 * SECOND);
        directory.replaced(List.of(server("t", 1, false)), 100 * SECOND);
        assertThat(ready()).containsExactlyInAnyOrder("s", "t");
        directory.expire(101 * SECOND);
        assertThat(ready()).containsExactlyInAnyOrder("s", "t");
        directory.expire(102 * SECOND);
        assertThat(ready()).containsExactly("t");
    }

    @Test
    void shouldKeepAServerThatComesBackAfterAnOutage() {
        directory.listed(server("s", 1, false));
        directory.outageEnded(100 * SECOND);
        directory.replaced(List.of(), 100 * SECOND);
        directory.listed(server("s", 1, false));
        directory.expire(103 * SECOND);
        assertThat(ready()).containsExactly("s");
    }

    @Test
    void shouldTakeOutAServerThatAPeerSawLeaving() {
        directory.listed(server("s", 5, false));
        directory.leaves(new LeavingServer("s", 4));
        assertThat(ready()).containsExactly("s");
        directory.leaves(new LeavingServer("s", 5));
        assertThat(ready()).isEmpty();
    }
}

package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ServerDirectoryTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final ServerDirectory directory = ServerDirectory.empty(name -> Optional.empty());

    private static BackendServer server(String id, long incarnation, boolean leaving) {
        return new BackendServer(id, incarnation, "service", "10.0.0.1:80", "a", 4, leaving, Map.of());
    }

    private List<String> activeServerIds() {
        return directory.activeServers("service").stream()
                .map(state -> state.server().id())
                .toList();
    }

    @Test
    void shouldNotReturnALeavingServerWhenALaterListingOfItsIncarnationIsNotMarkedAsLeaving() {
        directory.register(server("s", 1, false));
        directory.register(server("s", 1, true));
        directory.register(server("s", 1, false));
        assertThat(activeServerIds()).isEmpty();
        directory.deregister("s", 0);
        directory.register(server("s", 1, false));
        assertThat(activeServerIds()).isEmpty();
    }

    @Test
    void shouldReturnAServerWhenANewIncarnationFollowsOneThatLeft() {
        directory.register(server("s", 1, true));
        directory.register(server("s", 2, false));
        assertThat(activeServerIds()).containsExactly("s");
    }

    @Test
    void shouldIgnoreAListingOfAnEarlierIncarnation() {
        directory.register(server("s", 2, false));
        directory.register(server("s", 1, true));
        assertThat(activeServerIds()).containsExactly("s");
    }

    @Test
    void shouldRemoveADeregisteredServerAtOnceWhenTheListHadNoOutage() {
        directory.register(server("s", 1, false));
        directory.deregister("s", 100 * NANOS_PER_SECOND);
        assertThat(activeServerIds()).isEmpty();
    }

    @Test
    void shouldKeepAMissingServerUntilTheGracePeriodAfterAnOutageEnds() {
        directory.register(server("s", 1, false));
        directory.register(server("t", 1, false));
        directory.recordOutageEnd(100 * NANOS_PER_SECOND);
        directory.replaceAll(List.of(server("t", 1, false)), 100 * NANOS_PER_SECOND);
        assertThat(activeServerIds()).containsExactlyInAnyOrder("s", "t");
        // The grace period ends between the two calls of expire.
        directory.expire(101 * NANOS_PER_SECOND);
        assertThat(activeServerIds()).containsExactlyInAnyOrder("s", "t");
        directory.expire(102 * NANOS_PER_SECOND);
        assertThat(activeServerIds()).containsExactly("t");
    }

    @Test
    void shouldKeepAServerWhenItRegistersAgainAfterAnOutage() {
        directory.register(server("s", 1, false));
        directory.recordOutageEnd(100 * NANOS_PER_SECOND);
        directory.replaceAll(List.of(), 100 * NANOS_PER_SECOND);
        directory.register(server("s", 1, false));
        directory.expire(103 * NANOS_PER_SECOND);
        assertThat(activeServerIds()).containsExactly("s");
    }

    @Test
    void shouldNotReturnAServerWhenAPeerObservedItsIncarnationLeaving() {
        directory.register(server("s", 5, false));
        directory.markLeaving(new LeavingServer("s", 4));
        assertThat(activeServerIds()).containsExactly("s");
        directory.markLeaving(new LeavingServer("s", 5));
        assertThat(activeServerIds()).isEmpty();
    }
}

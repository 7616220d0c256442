package org.geraniumford.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumford.core.orders.OrderWorld.Fault;
import org.geraniumford.core.store.TableRow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class OrderMachineTest {
    private static final int STORE_STEPS = 5;

    private final OrderWorld world = new OrderWorld();

    // -- the ordinary way

    @Test
    void shouldOrderOnceAndReopenWhenVersionChanges() {
        OrderWorld.Sidecar sidecar = world.add("e", 1, false);
        world.runUntil(10_000);
        assertThat(world.orders).containsExactly("e 1.1");
        assertThat(sidecar.closed).isFalse();
        assertThat(world.rows.keySet()).containsExactly("lease-e");
    }

    @Test
    void shouldNotOrderWhileRequestsRun() {
        OrderWorld.Sidecar sidecar = world.add("e", 1, true);
        sidecar.busy = true;
        world.runUntil(20_000);
        assertThat(world.orders).isEmpty();
        assertThat(sidecar.closed).isTrue();
        sidecar.finishRequests();
        world.runUntil(40_000);
        assertThat(world.orders).hasSize(1);
        assertThat(world.violations).isZero();
    }

    @Test
    void shouldLoadAtMostThreeAtOnceWhenManyRunnersChange() {
        IntStream.range(0, 10).forEach(i -> world.add("e" + i, 1, true));
        world.runUntil(60_000);
        assertThat(world.mostLoading).isEqualTo(3);
        assertThat(world.weights.values()).containsOnly("new");
    }

    @Test
    void shouldTakeAbandonedTicketWhenItsOwnerIsGone() {
        IntStream.range(0, 3)
                .forEach(i -> world.rows.put("ticket-" + i, new TableRow("ticket-" + i, 7, "sidecar-gone " + i)));
        world.add("e", 1, true);
        world.runUntil(29_000);
        assertThat(world.orders).isEmpty();
        world.runUntil(60_000);
        assertThat(world.orders).hasSize(1);
    }

    // -- earlier and later holders

    @Test
    void shouldWaitOutLeaseAndLongestOrderWhenEngineIgnoresFencing() {
        world.rows.put("lease-e", new TableRow("lease-e", 4, new OrderLease(6, "sidecar-e", 1).encode()));
        world.add("e", 2, false);
        world.runUntil(15_000);
        assertThat(world.orders).isEmpty();
        world.runUntil(30_000);
        assertThat(world.orders).containsExactly("e 7.1");
    }

    @Test
    void shouldNotWaitWhenEngineChecksFencing() {
        world.rows.put("lease-e", new TableRow("lease-e", 4, new OrderLease(6, "sidecar-e", 1).encode()));
        world.add("e", 2, true);
        world.runUntil(5_000);
        assertThat(world.orders).containsExactly("e 7.1");
    }

    @Test
    void shouldNeverOrderAgainWhenLeaseLapsedWhileHolderWasPaused() {
        OrderWorld.Sidecar earlier = world.add("e", 1, false);
        earlier.busy = true;
        world.runUntil(3_000);
        earlier.paused = true;
        OrderWorld.Sidecar later = world.add("e", 2, false);
        world.runUntil(40_000);
        assertThat(world.orders).containsExactly("e 2.1");
        world.weights.put("e", "old");
        later.paused = true;
        earlier.paused = false;
        earlier.finishRequests();
        world.runUntil(80_000);
        assertThat(world.orders).containsExactly("e 2.1");
        assertThat(earlier.machine.superseded()).isTrue();
        assertThat(earlier.closed).isFalse();
    }

    @Test
    void shouldIgnoreLeaseWhenRowCannotBeRead() {
        world.rows.put("lease-e", new TableRow("lease-e", 4, "nonsense"));
        world.add("e", 2, true);
        world.runUntil(20_000);
        assertThat(world.orders).isEmpty();
    }

    // -- the fault table: every step, single, twice and in pairs

    @ParameterizedTest
    @MethodSource("faults")
    void shouldOrderAndReopenWhenStoreFailsAtAnyStep(int first, Fault one, int second, Fault other) {
        world.faults.put(second, other);
        world.faults.put(first, one);
        OrderWorld.Sidecar sidecar = world.add("e", 2, false);
        world.rows.put("lease-e", new TableRow("lease-e", 4, new OrderLease(6, "sidecar-e", 1).encode()));
        world.runUntil(15_000);
        assertThat(world.orders).isEmpty();
        world.runUntil(120_000);
        assertThat(world.weights).containsEntry("e", "new");
        assertThat(sidecar.closed).isFalse();
        assertThat(world.orders).hasSize(1);
        assertThat(world.violations).isZero();
    }

    static Stream<Arguments> faults() {
        return IntStream.range(0, STORE_STEPS)
                .boxed()
                .flatMap(first -> IntStream.range(first, STORE_STEPS)
                        .boxed()
                        .flatMap(second -> Arrays.stream(Fault.values())
                                .flatMap(one -> Arrays.stream(Fault.values())
                                        .map(other -> Arguments.of(first, one, second, other)))));
    }

    // -- the row

    @Test
    void shouldReadBackWhenLeaseIsEncoded() {
        OrderLease lease = new OrderLease(3, "runner 1 term=9", 12);
        assertThat(OrderLease.decode(lease.encode())).contains(lease);
        assertThat(List.of("", "term=x", "term=1 incarnation=2"))
                .allSatisfy(text -> assertThat(OrderLease.decode(text)).isEqualTo(Optional.empty()));
    }
}

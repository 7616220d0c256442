package org.geraniumford.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumford.core.orders.OrderSimulation.Fault;
import org.geraniumford.core.store.TableRow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class OrderMachineTest {
    /** The number of writes to the store, from the first, at which faults are injected. */
    private static final int STORE_WRITES = 5;

    private final OrderSimulation simulation = new OrderSimulation();

    // -- without faults

    @Test
    void shouldSendOneOrderAndReopenWhenVersionChanges() {
        OrderSimulation.Sidecar sidecar = simulation.add("e", 1, false);
        simulation.runUntil(10_000);
        assertThat(simulation.orders).containsExactly("e 1.1");
        assertThat(sidecar.quiesced).isFalse();
        assertThat(simulation.rows.keySet()).containsExactly("lease-e");
    }

    @Test
    void shouldNotSendOrderWhileRequestsAreRunning() {
        OrderSimulation.Sidecar sidecar = simulation.add("e", 1, true);
        sidecar.busy = true;
        simulation.runUntil(20_000);
        assertThat(simulation.orders).isEmpty();
        assertThat(sidecar.quiesced).isTrue();
        sidecar.finishRequests();
        simulation.runUntil(40_000);
        assertThat(simulation.orders).hasSize(1);
        assertThat(simulation.violations).isZero();
    }

    @Test
    void shouldLoadAtMostThreeAtOnceWhenManyRunnersChangeVersion() {
        IntStream.range(0, 10).forEach(i -> simulation.add("e" + i, 1, true));
        simulation.runUntil(60_000);
        assertThat(simulation.maxLoading).isEqualTo(3);
        assertThat(simulation.weights.values()).containsOnly("new");
    }

    @Test
    void shouldAcquireAbandonedTicketWhenItsHolderIsLost() {
        IntStream.range(0, 3)
                .forEach(i -> simulation.rows.put("ticket-" + i, new TableRow("ticket-" + i, 7, "sidecar-gone " + i)));
        simulation.add("e", 1, true);
        simulation.runUntil(29_000);
        assertThat(simulation.orders).isEmpty();
        simulation.runUntil(60_000);
        assertThat(simulation.orders).hasSize(1);
    }

    // -- earlier and later holders of the lease

    @Test
    void shouldWaitForEndOfLeaseAndLongestOrderWhenEngineIgnoresFencing() {
        simulation.rows.put("lease-e", new TableRow("lease-e", 4, new OrderLease(6, "sidecar-e", 1).encode()));
        simulation.add("e", 2, false);
        simulation.runUntil(15_000);
        assertThat(simulation.orders).isEmpty();
        simulation.runUntil(30_000);
        assertThat(simulation.orders).containsExactly("e 7.1");
    }

    @Test
    void shouldNotWaitForEarlierHolderWhenEngineChecksFencing() {
        simulation.rows.put("lease-e", new TableRow("lease-e", 4, new OrderLease(6, "sidecar-e", 1).encode()));
        simulation.add("e", 2, true);
        simulation.runUntil(5_000);
        assertThat(simulation.orders).containsExactly("e 7.1");
    }

    @Test
    void shouldNeverSendOrderAgainWhenLeaseExpiredWhileHolderWasPaused() {
        OrderSimulation.Sidecar earlier = simulation.add("e", 1, false);
        earlier.busy = true;
        simulation.runUntil(3_000);
        earlier.paused = true;
        OrderSimulation.Sidecar later = simulation.add("e", 2, false);
        simulation.runUntil(40_000);
        assertThat(simulation.orders).containsExactly("e 2.1");
        simulation.weights.put("e", "old");
        later.paused = true;
        earlier.paused = false;
        earlier.finishRequests();
        simulation.runUntil(80_000);
        assertThat(simulation.orders).containsExactly("e 2.1");
        assertThat(earlier.machine.superseded()).isTrue();
        assertThat(earlier.quiesced).isFalse();
    }

    @Test
    void shouldNotSendOrderWhenLeaseRowCannotBeDecoded() {
        simulation.rows.put("lease-e", new TableRow("lease-e", 4, "nonsense"));
        simulation.add("e", 2, true);
        simulation.runUntil(20_000);
        assertThat(simulation.orders).isEmpty();
    }

    // -- every fault at every write to the store, alone and in pairs

    @ParameterizedTest
    @MethodSource("faults")
    void shouldSendOneOrderAndReopenWhenStoreFailsAtAnyStep(
            int first, Fault firstFault, int second, Fault secondFault) {
        simulation.faults.put(second, secondFault);
        simulation.faults.put(first, firstFault);
        OrderSimulation.Sidecar sidecar = simulation.add("e", 2, false);
        simulation.rows.put("lease-e", new TableRow("lease-e", 4, new OrderLease(6, "sidecar-e", 1).encode()));
        simulation.runUntil(15_000);
        assertThat(simulation.orders).isEmpty();
        simulation.runUntil(120_000);
        assertThat(simulation.weights).containsEntry("e", "new");
        assertThat(sidecar.quiesced).isFalse();
        assertThat(simulation.orders).hasSize(1);
        assertThat(simulation.violations).isZero();
    }

    static Stream<Arguments> faults() {
        return IntStream.range(0, STORE_WRITES)
                .boxed()
                .flatMap(first -> IntStream.range(first, STORE_WRITES)
                        .boxed()
                        .flatMap(second -> Arrays.stream(Fault.values())
                                .flatMap(firstFault -> Arrays.stream(Fault.values())
                                        .map(secondFault -> Arguments.of(first, firstFault, second, secondFault)))));
    }

    // -- encoding of the lease

    @Test
    void shouldReturnEqualLeaseWhenEncodedAndDecoded() {
        OrderLease lease = new OrderLease(3, "runner 1 term=9", 12);
        assertThat(OrderLease.decode(lease.encode())).contains(lease);
        assertThat(List.of("", "term=x", "term=1 incarnation=2"))
                .allSatisfy(text -> assertThat(OrderLease.decode(text)).isEqualTo(Optional.empty()));
    }
}

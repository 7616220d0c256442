package org.geraniumford.core.orders;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.geraniumford.core.store.TableRow;

/**
 * Simulates a store, engines and sidecars on one virtual clock. One unit of this clock stands for a millisecond of the
 * real one, although {@link OrderTimes} counts in nanoseconds.
 */
final class OrderSimulation {
    static final OrderTimes TIMES = new OrderTimes(5_000, 10_000, 30_000, 1_000);
    static final long LOAD_NANOS = 2_000;

    final Map<String, TableRow> rows = new TreeMap<>();
    final Map<String, String> weights = new HashMap<>();
    final List<Sidecar> sidecars = new ArrayList<>();
    /** The orders that were sent, each as "engine term.sequence". */
    final List<String> orders = new ArrayList<>();
    /** The faults by the index of the write at which they occur, counted from 0. */
    final Map<Integer, Fault> faults = new HashMap<>();
    /** The engines that are loading weights. */
    final Set<String> loading = new HashSet<>();

    int maxLoading;
    /** How many orders were sent to an engine while it was running requests. */
    int violations;

    long now;
    private int writes;

    enum Fault {
        STORE_DOWN,
        /** The write takes effect, but the machine is notified of a failure. */
        RESPONSE_LOST,
        CONFLICT
    }

    Sidecar add(String engine, long incarnation, boolean checksFencing) {
        weights.putIfAbsent(engine, "old");
        Sidecar sidecar = new Sidecar(engine, incarnation, checksFencing);
        sidecars.add(sidecar);
        return sidecar;
    }

    void runUntil(long endTime) {
        while (now < endTime) {
            now += 250;
            sidecars.stream().filter(sidecar -> !sidecar.paused).forEach(Sidecar::tick);
        }
    }

    private Optional<Fault> nextFault() {
        return Optional.ofNullable(faults.get(writes++));
    }

    private OrderEvent write(
            String row, long expectedVersion, String value, java.util.function.LongFunction<OrderEvent> onWritten) {
        Optional<Fault> fault = nextFault();
        long version = rows.containsKey(row) ? rows.get(row).version() : 0;
        boolean conflicting = fault.filter(Fault.CONFLICT::equals).isPresent() || version != expectedVersion;
        if (fault.filter(Fault.STORE_DOWN::equals).isPresent()) {
            return new OrderEvent.StoreFailed();
        } else if (conflicting) {
            return new OrderEvent.Conflicted();
        }
        rows.put(row, new TableRow(row, version + 1, value));
        return fault.isPresent() ? new OrderEvent.StoreFailed() : onWritten.apply(version + 1);
    }

    /** One incarnation of a sidecar with its order machine. */
    final class Sidecar {
        final String engine;
        final long incarnation;
        final boolean checksFencing;
        final OrderMachine machine;
        boolean paused;
        boolean quiesced;
        /** Whether the engine is running requests. */
        boolean busy;

        /** The actions to perform at the next tick. */
        private final Deque<OrderAction> pending = new ArrayDeque<>();
        /** When the engine has loaded the weights; {@link Long#MAX_VALUE} if it is not loading any. */
        private long loadEnd = Long.MAX_VALUE;

        private Sidecar(String engine, long incarnation, boolean checksFencing) {
            this.engine = engine;
            this.incarnation = incarnation;
            this.checksFencing = checksFencing;
            this.machine = OrderMachine.of("sidecar-" + engine, incarnation, TIMES);
        }

        void tick() {
            if (now >= loadEnd) {
                loadEnd = Long.MAX_VALUE;
                loading.remove(engine);
                weights.put(engine, "new");
                applyEvent(new OrderEvent.OrderEnded());
            }
            List<OrderAction> due = List.copyOf(pending);
            pending.clear();
            due.forEach(this::perform);
            EngineTarget target = new EngineTarget("model-2", "new");
            applyEvent(new OrderEvent.EngineObserved(weights.get(engine), checksFencing, Optional.of(target)));
        }

        void finishRequests() {
            busy = false;
            applyEvent(new OrderEvent.EngineIdle());
        }

        private void applyEvent(OrderEvent event) {
            pending.addAll(machine.apply(event, now));
        }

        private void perform(OrderAction action) {
            String leaseRow = "lease-" + engine;
            if (action instanceof OrderAction.ReadLease) {
                applyEvent(new OrderEvent.LeaseRead(Optional.ofNullable(rows.get(leaseRow))));
            } else if (action instanceof OrderAction.WriteLease write) {
                applyEvent(
                        write(leaseRow, write.expectedVersion(), write.lease().encode(), OrderEvent.LeaseWritten::new));
            } else if (action instanceof OrderAction.ReadTickets) {
                applyEvent(new OrderEvent.TicketsRead(rows.values().stream()
                        .filter(row -> row.name().startsWith("ticket"))
                        .toList()));
            } else if (action instanceof OrderAction.TakeTicket take) {
                applyEvent(write(
                        take.row(),
                        take.expectedVersion(),
                        machine.ticketHolder(),
                        version -> new OrderEvent.TicketTaken(take.row(), version)));
            } else if (action instanceof OrderAction.ReleaseTicket release) {
                rows.computeIfPresent(
                        release.row(), (name, row) -> row.version() == release.expectedVersion() ? null : row);
            } else if (action instanceof OrderAction.SendOrder send) {
                send(send);
            } else {
                quiesced = action instanceof OrderAction.Quiesce;
                if (quiesced && !busy) {
                    applyEvent(new OrderEvent.EngineIdle());
                }
            }
        }

        private void send(OrderAction.SendOrder send) {
            if (send.leaseEndNanos().filter(end -> now >= end).isPresent()) {
                applyEvent(new OrderEvent.OrderEnded());
                return;
            }
            orders.add(engine + " " + send.term() + "." + send.sequence());
            violations += busy ? 1 : 0;
            loading.add(engine);
            maxLoading = Math.max(maxLoading, loading.size());
            loadEnd = now + LOAD_NANOS;
        }
    }
}

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

/** A store, one engine for each name, and sidecars on one virtual clock, with faults by the number of the step. */
final class OrderWorld {
    static final OrderTimes TIMES = new OrderTimes(5_000, 10_000, 30_000, 1_000);
    static final long LOAD = 2_000;

    final Map<String, TableRow> rows = new TreeMap<>();
    final Map<String, String> weights = new HashMap<>();
    final List<Sidecar> sidecars = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final Map<Integer, Fault> faults = new HashMap<>();
    final Set<String> loading = new HashSet<>();
    int mostLoading;
    int violations;
    long now;
    private int steps;

    enum Fault {
        STORE_DOWN,
        REPLY_LOST,
        CONFLICT
    }

    Sidecar add(String engine, long incarnation, boolean fencing) {
        weights.putIfAbsent(engine, "old");
        Sidecar sidecar = new Sidecar(engine, incarnation, fencing);
        sidecars.add(sidecar);
        return sidecar;
    }

    void runUntil(long end) {
        while (now < end) {
            now += 250;
            sidecars.stream().filter(sidecar -> !sidecar.paused).forEach(Sidecar::tick);
        }
    }

    private Optional<Fault> fault() {
        return Optional.ofNullable(faults.get(steps++));
    }

    private OrderEvent write(String row, long expect, String value, java.util.function.LongFunction<OrderEvent> done) {
        Optional<Fault> fault = fault();
        long version = rows.containsKey(row) ? rows.get(row).version() : 0;
        boolean refused = fault.filter(Fault.CONFLICT::equals).isPresent() || version != expect;
        if (fault.filter(Fault.STORE_DOWN::equals).isPresent()) {
            return new OrderEvent.StoreFailed();
        } else if (refused) {
            return new OrderEvent.Conflicted();
        }
        rows.put(row, new TableRow(row, version + 1, value));
        return fault.isPresent() ? new OrderEvent.StoreFailed() : done.apply(version + 1);
    }

    /** One start of a sidecar with its order machine. */
    final class Sidecar {
        final String engine;
        final long incarnation;
        final boolean fencing;
        final OrderMachine machine;
        boolean paused;
        boolean closed;
        boolean busy;
        private final Deque<OrderAction> pending = new ArrayDeque<>();
        private long loadEnd = Long.MAX_VALUE;

        private Sidecar(String engine, long incarnation, boolean fencing) {
            this.engine = engine;
            this.incarnation = incarnation;
            this.fencing = fencing;
            this.machine = OrderMachine.of("sidecar-" + engine, incarnation, TIMES);
        }

        void tick() {
            if (now >= loadEnd) {
                loadEnd = Long.MAX_VALUE;
                loading.remove(engine);
                weights.put(engine, "new");
                learn(new OrderEvent.Ordered());
            }
            List<OrderAction> due = List.copyOf(pending);
            pending.clear();
            due.forEach(this::perform);
            Target target = new Target("model-2", "new");
            learn(new OrderEvent.Observed(weights.get(engine), fencing, Optional.of(target)));
        }

        void finishRequests() {
            busy = false;
            learn(new OrderEvent.Quiet());
        }

        private void learn(OrderEvent event) {
            pending.addAll(machine.apply(event, now));
        }

        private void perform(OrderAction action) {
            String lease = "lease-" + engine;
            if (action instanceof OrderAction.ReadLease) {
                learn(new OrderEvent.LeaseRead(Optional.ofNullable(rows.get(lease))));
            } else if (action instanceof OrderAction.WriteLease write) {
                learn(write(lease, write.expect(), write.lease().encode(), OrderEvent.LeaseWritten::new));
            } else if (action instanceof OrderAction.ReadTickets) {
                learn(new OrderEvent.TicketsRead(rows.values().stream()
                        .filter(row -> row.row().startsWith("ticket"))
                        .toList()));
            } else if (action instanceof OrderAction.TakeTicket take) {
                learn(write(
                        take.row(),
                        take.expect(),
                        machine.owner(),
                        version -> new OrderEvent.TicketTaken(take.row(), version)));
            } else if (action instanceof OrderAction.GiveTicket give) {
                rows.computeIfPresent(give.row(), (name, row) -> row.version() == give.expect() ? null : row);
            } else if (action instanceof OrderAction.Send send) {
                send(send);
            } else {
                closed = action instanceof OrderAction.Quiesce;
                if (closed && !busy) {
                    learn(new OrderEvent.Quiet());
                }
            }
        }

        private void send(OrderAction.Send send) {
            if (send.leaseEndNanos().filter(end -> now >= end).isPresent()) {
                learn(new OrderEvent.Ordered());
                return;
            }
            orders.add(engine + " " + send.term() + "." + send.sequence());
            violations += busy ? 1 : 0;
            loading.add(engine);
            mostLoading = Math.max(mostLoading, loading.size());
            loadEnd = now + LOAD;
        }
    }
}

package org.geraniumford.daemon.sidecar;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.geraniumford.core.configuration.Configuration;
import org.geraniumford.core.configuration.Model;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.orders.LoadTickets;
import org.geraniumford.core.orders.OrderAction;
import org.geraniumford.core.orders.OrderEvent;
import org.geraniumford.core.orders.OrderLease;
import org.geraniumford.core.orders.OrderMachine;
import org.geraniumford.core.orders.OrderTimes;
import org.geraniumford.core.orders.RunnerPlan;
import org.geraniumford.core.orders.Target;
import org.geraniumford.core.store.Store;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TransactionResult;
import org.geraniumford.transport.duty.Duty;
import org.geraniumford.transport.duty.DutyHandler;
import org.geraniumford.transport.engine.Engine;
import org.geraniumford.transport.engine.EngineOrder;
import org.geraniumford.transport.log.LogEvent;

/** The duty that keeps the engine at the version that the configuration wants. Thread-safe. */
final class OrderKeeper implements AutoCloseable {
    private static final int RING = 256;
    private static final Duration TICK = Duration.ofMillis(100);

    private final SidecarIdentity identity;
    private final Engine engine;
    private final Store store;
    private final Supplier<Configuration> configuration;
    private final Supplier<List<Host>> hosts;
    private final EventRing sidecar;
    private final OrderMachine machine;
    private final Duty<Supplier<OrderEvent>> duty;
    private Optional<String> heldModel = Optional.empty();
    private Inputs planned = new Inputs("", Configuration.empty(), List.of());
    private Optional<Target> target = Optional.empty();

    private OrderKeeper(
            SidecarIdentity identity,
            Engine engine,
            Store store,
            Supplier<Configuration> configuration,
            Supplier<List<Host>> hosts,
            EventRing sidecar) {
        this.identity = identity;
        this.engine = engine;
        this.store = store;
        this.configuration = configuration;
        this.hosts = hosts;
        this.sidecar = sidecar;
        this.machine = OrderMachine.of(identity.processId(), identity.incarnation(), OrderTimes.standard());
        this.duty = Duty.start("orders", RING, TICK, new Handler());
    }

    // -- construction

    static OrderKeeper start(
            SidecarIdentity identity,
            Engine engine,
            Store store,
            Supplier<Configuration> configuration,
            Supplier<List<Host>> hosts,
            EventRing sidecar) {
        return new OrderKeeper(identity, engine, store, configuration, hosts, sidecar);
    }

    // -- commands

    /** Learns the engine's state; a full ring waits for the next one. */
    void observed(BackendState backend) {
        if (backend.up()) {
            duty.offer(() -> new OrderEvent.Observed(
                    backend.weightsDigest(), backend.checksFencing(), target(backend.weightsDigest())));
        }
    }

    /** Learns that no request runs on the engine and none is passed on. */
    void quiet() {
        duty.offer(OrderEvent.Quiet::new);
    }

    @Override
    public void close() {
        duty.close();
    }

    // -- the plan

    /** Plans again only if an input changed, since the plan spans all runners. */
    private Optional<Target> target(String heldWeights) {
        Inputs inputs = new Inputs(heldWeights, configuration.get(), hosts.get());
        if (!inputs.same(planned)) {
            planned = inputs;
            heldModel = inputs.modelOf(heldWeights).or(() -> heldModel);
            target = RunnerPlan.target(
                    inputs.configuration().models().values(),
                    inputs.hosts(),
                    identity.processId(),
                    heldWeights,
                    heldModel);
        }
        return target;
    }

    // -- the duty

    private final class Handler implements DutyHandler<Supplier<OrderEvent>> {
        @Override
        public void handle(Supplier<OrderEvent> event) {
            machine.apply(event.get(), System.nanoTime()).forEach(OrderKeeper.this::perform);
        }

        @Override
        public void tick() {
            handle(OrderEvent.Tick::new);
        }
    }

    private void perform(OrderAction action) {
        if (action instanceof OrderAction.ReadLease) {
            learn(store.row(OrderLease.TABLE, identity.processId()), OrderEvent.LeaseRead::new);
        } else if (action instanceof OrderAction.WriteLease write) {
            String value = write.lease().encode();
            write(OrderLease.TABLE, identity.processId(), write.expect(), value, OrderEvent.LeaseWritten::new);
        } else if (action instanceof OrderAction.ReadTickets) {
            learn(store.rows(LoadTickets.TABLE, "", LoadTickets.TICKETS), OrderEvent.TicketsRead::new);
        } else if (action instanceof OrderAction.TakeTicket take) {
            LongFunction<OrderEvent> taken = version -> new OrderEvent.TicketTaken(take.row(), version);
            write(LoadTickets.TABLE, take.row(), take.expect(), machine.owner(), taken);
        } else if (action instanceof OrderAction.GiveTicket give) {
            store.transact(List.of(TableOperation.delete(LoadTickets.TABLE, give.row(), give.expect())));
        } else if (action instanceof OrderAction.Send send) {
            send(send);
        } else {
            Delivery.untilTaken(sidecar, new SidecarEvent.Quiesced(action instanceof OrderAction.Quiesce));
        }
    }

    private void write(String table, String row, long expect, String value, LongFunction<OrderEvent> done) {
        learn(
                store.transact(List.of(new TableOperation(table, row, expect, Optional.of(value)))),
                result -> result instanceof TransactionResult.Committed committed
                        ? done.apply(committed.versions().get(0))
                        : new OrderEvent.Conflicted());
    }

    private <T> void learn(CompletableFuture<T> answer, java.util.function.Function<T, OrderEvent> event) {
        answer.whenComplete((value, failure) ->
                duty.offer(() -> failure == null ? event.apply(value) : new OrderEvent.StoreFailed()));
    }

    /** Checks the lease last of all, for engines that would carry out an order of an earlier holder. */
    private void send(OrderAction.Send send) {
        LogEvent line = LogEvent.of("order")
                .with("version", send.target().version())
                .with("weights", send.target().weightsDigest())
                .with("term", send.term())
                .with("sequence", send.sequence());
        EngineOrder order = new EngineOrder(
                send.term(),
                send.sequence(),
                send.target().version(),
                send.target().weightsDigest());
        if (send.leaseEndNanos().filter(end -> System.nanoTime() - end >= 0).isPresent()) {
            line.with("outcome", "lease_ended").warn();
            duty.offer(OrderEvent.Ordered::new);
            return;
        }
        engine.order(order).whenComplete((weights, failure) -> {
            line.with("outcome", failure == null ? "done" : "failed").info();
            duty.offer(OrderEvent.Ordered::new);
        });
    }

    private record Inputs(String heldWeights, Configuration configuration, List<Host> hosts) {
        boolean same(Inputs other) {
            return heldWeights.equals(other.heldWeights)
                    && configuration.version() == other.configuration.version()
                    && hosts == other.hosts;
        }

        Optional<String> modelOf(String weightsDigest) {
            return configuration.models().values().stream()
                    .filter(model -> model.weightsDigest().equals(weightsDigest))
                    .map(Model::name)
                    .min(String::compareTo);
        }
    }
}

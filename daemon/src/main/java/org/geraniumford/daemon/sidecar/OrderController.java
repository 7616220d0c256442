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
import org.geraniumford.core.orders.EngineTarget;
import org.geraniumford.core.orders.LoadTickets;
import org.geraniumford.core.orders.ModelAssignment;
import org.geraniumford.core.orders.OrderAction;
import org.geraniumford.core.orders.OrderEvent;
import org.geraniumford.core.orders.OrderLease;
import org.geraniumford.core.orders.OrderMachine;
import org.geraniumford.core.orders.OrderTimes;
import org.geraniumford.core.store.Store;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TransactionResult;
import org.geraniumford.transport.engine.Engine;
import org.geraniumford.transport.engine.EngineOrder;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.worker.Worker;
import org.geraniumford.transport.worker.WorkerHandler;

/** Loads the model version that the configuration selects into the engine, on its own worker thread. Thread-safe. */
final class OrderController implements AutoCloseable {
    private static final int RING_EVENTS = 256;
    private static final Duration TICK = Duration.ofMillis(100);

    private final SidecarIdentity identity;
    private final Engine engine;
    private final Store store;
    private final Supplier<Configuration> configuration;
    private final Supplier<List<Host>> hosts;
    private final EventRing sidecarRing;
    private final OrderMachine machine;
    private final Worker<Supplier<OrderEvent>> worker;
    /** The name of the configured model whose weights the engine last had loaded; empty if not known. */
    private Optional<String> lastModel = Optional.empty();

    private TargetInputs targetInputs = new TargetInputs("", Configuration.empty(), List.of());
    private Optional<EngineTarget> target = Optional.empty();

    private OrderController(
            SidecarIdentity identity,
            Engine engine,
            Store store,
            Supplier<Configuration> configuration,
            Supplier<List<Host>> hosts,
            EventRing sidecarRing) {
        this.identity = identity;
        this.engine = engine;
        this.store = store;
        this.configuration = configuration;
        this.hosts = hosts;
        this.sidecarRing = sidecarRing;
        this.machine = OrderMachine.of(identity.processId(), identity.incarnation(), OrderTimes.ofDefaults());
        this.worker = Worker.start("orders", RING_EVENTS, TICK, new Handler());
    }

    // -- construction

    static OrderController start(
            SidecarIdentity identity,
            Engine engine,
            Store store,
            Supplier<Configuration> configuration,
            Supplier<List<Host>> hosts,
            EventRing sidecarRing) {
        return new OrderController(identity, engine, store, configuration, hosts, sidecarRing);
    }

    // -- commands

    /**
     * Records the engine's observed state. If the ring is full, the state is dropped; the next observation replaces it.
     */
    void updateObserved(BackendState backend) {
        if (backend.isUp()) {
            worker.offer(() -> new OrderEvent.EngineObserved(
                    backend.weightsDigest(), backend.checksFencing(), target(backend.weightsDigest())));
        }
    }

    /** Records that no request runs on the engine and none is forwarded to it. */
    void reportIdle() {
        worker.offer(OrderEvent.EngineIdle::new);
    }

    @Override
    public void close() {
        worker.close();
    }

    // -- target

    /**
     * Returns the engine's target; empty to leave the engine unchanged. Computes it again only if an input has changed,
     * because the computation covers all runners.
     */
    private Optional<EngineTarget> target(String loadedWeights) {
        TargetInputs inputs = new TargetInputs(loadedWeights, configuration.get(), hosts.get());
        if (!inputs.isSameAs(targetInputs)) {
            targetInputs = inputs;
            lastModel = inputs.modelOf(loadedWeights).or(() -> lastModel);
            target = ModelAssignment.target(
                    inputs.configuration().models().values(),
                    inputs.hosts(),
                    identity.processId(),
                    loadedWeights,
                    lastModel);
        }
        return target;
    }

    // -- worker

    /** Creates each event on the worker thread, which alone may compute and store the target. */
    private final class Handler implements WorkerHandler<Supplier<OrderEvent>> {
        @Override
        public void handle(Supplier<OrderEvent> event) {
            machine.apply(event.get(), System.nanoTime()).forEach(OrderController.this::perform);
        }

        @Override
        public void tick() {
            handle(OrderEvent.Tick::new);
        }
    }

    private void perform(OrderAction action) {
        if (action instanceof OrderAction.ReadLease) {
            offerResult(store.row(OrderLease.TABLE, identity.processId()), OrderEvent.LeaseRead::new);
        } else if (action instanceof OrderAction.WriteLease write) {
            String value = write.lease().encode();
            writeRow(
                    OrderLease.TABLE,
                    identity.processId(),
                    write.expectedVersion(),
                    value,
                    OrderEvent.LeaseWritten::new);
        } else if (action instanceof OrderAction.ReadTickets) {
            offerResult(store.rows(LoadTickets.TABLE, "", LoadTickets.TICKET_COUNT), OrderEvent.TicketsRead::new);
        } else if (action instanceof OrderAction.TakeTicket take) {
            LongFunction<OrderEvent> onTaken = version -> new OrderEvent.TicketTaken(take.row(), version);
            writeRow(LoadTickets.TABLE, take.row(), take.expectedVersion(), machine.ticketHolder(), onTaken);
        } else if (action instanceof OrderAction.ReleaseTicket release) {
            store.transact(List.of(TableOperation.delete(LoadTickets.TABLE, release.row(), release.expectedVersion())));
        } else if (action instanceof OrderAction.SendOrder send) {
            sendOrder(send);
        } else {
            // The remaining actions are Quiesce and Reopen.
            EventRings.offerUntilAccepted(
                    sidecarRing, new SidecarEvent.QuiescedChanged(action instanceof OrderAction.Quiesce));
        }
    }

    private void writeRow(
            String table, String row, long expectedVersion, String value, LongFunction<OrderEvent> onCommitted) {
        offerResult(
                store.transact(List.of(new TableOperation(table, row, expectedVersion, Optional.of(value)))),
                result -> result instanceof TransactionResult.Committed committed
                        ? onCommitted.apply(committed.versions().get(0))
                        : new OrderEvent.Conflicted());
    }

    private <T> void offerResult(CompletableFuture<T> response, java.util.function.Function<T, OrderEvent> toEvent) {
        response.whenComplete((value, failure) ->
                worker.offer(() -> failure == null ? toEvent.apply(value) : new OrderEvent.StoreFailed()));
    }

    /**
     * Sends an order unless the lease has ended. Checks this just before sending, because an engine that does not check
     * fencing tokens would carry out an order of an earlier holder.
     */
    private void sendOrder(OrderAction.SendOrder send) {
        LogEvent logEvent = LogEvent.of("order")
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
            logEvent.with("outcome", "lease_ended").warn();
            worker.offer(OrderEvent.OrderEnded::new);
            return;
        }
        engine.order(order).whenComplete((weights, failure) -> {
            logEvent.with("outcome", failure == null ? "done" : "failed").info();
            worker.offer(OrderEvent.OrderEnded::new);
        });
    }

    /** The inputs from which the engine's target is computed. */
    private record TargetInputs(String loadedWeights, Configuration configuration, List<Host> hosts) {
        /**
         * Returns whether the inputs are the same as the others. Host lists are compared by identity, because the host
         * directory replaces its list only when it has changed.
         */
        boolean isSameAs(TargetInputs other) {
            return loadedWeights.equals(other.loadedWeights)
                    && configuration.version() == other.configuration.version()
                    && hosts == other.hosts;
        }

        /** Returns the name of the configured model with these weights; of several, the first one by name. */
        Optional<String> modelOf(String weightsDigest) {
            return configuration.models().values().stream()
                    .filter(model -> model.weightsDigest().equals(weightsDigest))
                    .map(Model::name)
                    .min(String::compareTo);
        }
    }
}

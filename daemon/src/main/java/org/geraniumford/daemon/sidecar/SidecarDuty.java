package org.geraniumford.daemon.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.geraniumford.core.cache.CacheSnapshot;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.operator.ProcessStatus;
import org.geraniumford.transport.duty.DutyHandler;
import org.geraniumford.transport.log.LogEvent;

/** The work of a sidecar: its backend server's state, its peers, and what they ask. */
final class SidecarDuty implements DutyHandler<SidecarEvent> {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final SidecarIdentity identity;
    private final ModelRequests models;
    private final PlainCalls calls;
    private final BackendWatch watch;
    private final SidecarMetrics metrics;
    private final LongSupplier nanoTime;
    private final Set<Peer> peers = new LinkedHashSet<>();
    private final Map<Class<? extends Message>, BiConsumer<Peer, Message>> handlers;
    private BackendState backend;
    private boolean listedLeaving;
    private Optional<CompletableFuture<Void>> finished = Optional.empty();
    private Optional<OrderKeeper> orders = Optional.empty();
    private boolean quiesced;
    private volatile ProcessStatus status;

    private SidecarDuty(
            SidecarIdentity identity,
            ModelRequests models,
            PlainCalls calls,
            BackendWatch watch,
            SidecarMetrics metrics,
            LongSupplier nanoTime) {
        this.identity = identity;
        this.models = models;
        this.calls = calls;
        this.watch = watch;
        this.metrics = metrics;
        this.nanoTime = nanoTime;
        this.backend = BackendState.down(identity.service());
        this.status = newStatus();
        this.handlers = Map.ofEntries(
                on(Message.Probe.class, (peer, probe) -> models.probe(peer, probe, backend, leaving())),
                on(Message.Submit.class, this::submit),
                on(Message.Credit.class, (peer, credit) -> models.credit(credit)),
                on(Message.Cancel.class, (peer, cancel) -> models.cancel(cancel.id())),
                on(Message.Call.class, this::call),
                on(Message.CloseToken.class, calls::closeToken),
                on(Message.StatusRequest.class, (peer, request) -> answerStatus(peer, request.id())),
                on(Message.Drain.class, this::drain));
    }

    private static <M extends Message> Map.Entry<Class<M>, BiConsumer<Peer, Message>> on(
            Class<M> type, BiConsumer<Peer, M> handler) {
        return Map.entry(type, (peer, message) -> handler.accept(peer, type.cast(message)));
    }

    // -- construction

    static SidecarDuty of(
            SidecarIdentity identity,
            ModelRequests models,
            PlainCalls calls,
            BackendWatch watch,
            SidecarMetrics metrics,
            LongSupplier nanoTime) {
        return new SidecarDuty(identity, models, calls, watch, metrics, nanoTime);
    }

    // -- commands

    @Override
    public void handle(SidecarEvent event) {
        event.handle(this);
    }

    @Override
    public void tick() {
        peers.stream().filter(peer -> !peer.open()).toList().forEach(this::peerClosed);
        watch.tick(nanoTime.getAsLong());
        models.tick();
        metrics.levels(models.index().counts(), models.waiting(), models.running());
        status = newStatus();
        finishLeaving();
        tellOrders();
    }

    @Override
    public boolean idle() {
        return models.waiting() + models.running() + calls.size() == 0 && finished.isEmpty();
    }

    // -- commands: peers

    void peerOpened(Peer peer) {
        peers.add(peer);
        peer.send(state());
    }

    void peerClosed(Peer peer) {
        peers.remove(peer);
        models.peerClosed(peer);
    }

    void received(Peer peer, Message message) {
        Optional.ofNullable(handlers.get(message.getClass())).ifPresent(handler -> handler.accept(peer, message));
    }

    private void submit(Peer peer, Message.Submit submit) {
        if (leaving()) {
            models.refused(ModelAttempt.of(peer, submit), leavingRefusal());
        } else {
            models.submit(peer, submit, backend);
        }
    }

    private void call(Peer peer, Message.Call call) {
        if (leaving()) {
            calls.refuse(peer, call.id(), leavingRefusal());
        } else if (backend.service().isEmpty()) {
            calls.refuse(peer, call.id(), Refusal.notRun(Reason.UNKNOWN_SERVICE, "no plain service is served here"));
        } else {
            calls.call(peer, call);
        }
    }

    private void drain(Peer peer, Message.Drain drain) {
        leave(new CompletableFuture<>());
        answerStatus(peer, drain.id());
    }

    private void answerStatus(Peer peer, long id) {
        peer.send(new Message.StatusAnswer(id, json(newStatus())));
    }

    // -- commands: the backend server

    void backendSeen(BackendState seen) {
        orders.ifPresent(keeper -> keeper.observed(seen));
        if (seen.equals(backend)
                || (seen.up() && seen.incarnation() < models.index().incarnation())) {
            return;
        }
        LogEvent.of("backend_changed")
                .with("incarnation", seen.incarnation())
                .with("model", seen.modelVersion())
                .with("weights", seen.weightsDigest())
                .info();
        models.refuseWaiting(changeRefusal(seen));
        if (seen.up() && seen.service().isEmpty()) {
            models.index().incarnation(seen.incarnation());
        }
        backend = seen;
        broadcastState();
    }

    void followEnded() {
        watch.followEnded();
    }

    void cacheRead(Optional<CacheSnapshot> snapshot) {
        snapshot.ifPresent(models.index()::replace);
        watch.cacheRead();
    }

    private Refusal changeRefusal(BackendState seen) {
        if (!seen.up()) {
            return Refusal.notRun(Reason.NO_BACKEND, "the engine does not answer");
        }
        return seen.incarnation() == backend.incarnation()
                ? Refusal.notRun(Reason.WRONG_WEIGHTS, "the engine loaded other weights")
                : Refusal.notRun(Reason.STALE_INCARNATION, "the engine restarted");
    }

    // -- commands: orders

    /** Sets who orders the engine; before the duty starts. */
    void orderedBy(OrderKeeper keeper) {
        orders = Optional.of(keeper);
    }

    /** Takes no new work while an order is to be carried out; what waits is refused, what runs is finished. */
    void quiesce(boolean closed) {
        boolean before = leaving();
        quiesced = closed;
        if (closed) {
            models.refuseWaiting(Refusal.notRun(Reason.WRONG_WEIGHTS, "the engine is about to load other weights"));
        }
        leavingChanged(before);
        tellOrders();
    }

    private void tellOrders() {
        if (quiesced && models.running() == 0) {
            orders.ifPresent(OrderKeeper::quiet);
        }
    }

    // -- commands: leaving

    /** Takes no new work from now on, and completes the future once everything that runs has finished. */
    void leave(CompletableFuture<Void> whenFinished) {
        boolean before = leaving();
        finished.ifPresent(earlier -> earlier.thenRun(() -> whenFinished.complete(null)));
        finished = finished.or(() -> Optional.of(whenFinished));
        leavingChanged(before);
        finishLeaving();
    }

    /** Takes no new work while the platform lists this host as leaving. */
    void listed(boolean asLeaving) {
        boolean before = leaving();
        listedLeaving = asLeaving;
        leavingChanged(before);
    }

    private void leavingChanged(boolean before) {
        if (before != leaving()) {
            LogEvent.of("leaving_changed")
                    .with("leaving", leaving())
                    .with("running", models.running())
                    .info();
            broadcastState();
        }
    }

    private void finishLeaving() {
        boolean idle = models.waiting() + models.running() + calls.size() == 0;
        if (idle && peers.stream().allMatch(Peer::flushed)) {
            finished.ifPresent(future -> future.complete(null));
        }
    }

    private void broadcastState() {
        List.copyOf(peers).forEach(peer -> peer.send(state()));
    }

    // -- queries

    ModelRequests models() {
        return models;
    }

    PlainCalls calls() {
        return calls;
    }

    /** Returns the state as of the last tick; callable from any thread. */
    ProcessStatus status() {
        return status;
    }

    private boolean leaving() {
        return quiesced || listedLeaving || finished.isPresent();
    }

    private Message.SidecarState state() {
        return backend.message(leaving(), models.estimatedWaitMicros());
    }

    private ProcessStatus newStatus() {
        return identity.status(backend, leaving(), models.running() + calls.size(), models.waiting());
    }

    private static String json(ProcessStatus value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a status is always JSON", e);
        }
    }

    private static Refusal leavingRefusal() {
        return Refusal.notRun(Reason.LEAVING, "the backend server is leaving");
    }
}

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
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.worker.WorkerHandler;

/** Handles a sidecar's events: the state of its backend server, its peers and their messages. */
final class SidecarEventHandler implements WorkerHandler<SidecarEvent> {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final SidecarIdentity identity;
    private final ModelRequests models;
    private final PlainServiceCalls calls;
    private final BackendMonitor monitor;
    private final SidecarMetrics metrics;
    private final LongSupplier nanoTime;
    private final Set<Peer> peers = new LinkedHashSet<>();
    private final Map<Class<? extends Message>, BiConsumer<Peer, Message>> handlers;
    private BackendState backend;
    private boolean listedLeaving;
    private Optional<CompletableFuture<Void>> leaveCompletion = Optional.empty();
    private Optional<OrderController> orderController = Optional.empty();
    private boolean quiesced;
    private volatile ProcessStatus status;

    private SidecarEventHandler(
            SidecarIdentity identity,
            ModelRequests models,
            PlainServiceCalls calls,
            BackendMonitor monitor,
            SidecarMetrics metrics,
            LongSupplier nanoTime) {
        this.identity = identity;
        this.models = models;
        this.calls = calls;
        this.monitor = monitor;
        this.metrics = metrics;
        this.nanoTime = nanoTime;
        this.backend = BackendState.down(identity.service());
        this.status = currentStatus();
        this.handlers = Map.ofEntries(
                on(Message.Probe.class, (peer, probe) -> models.respondToProbe(peer, probe, backend, isLeaving())),
                on(Message.Submit.class, this::submit),
                on(Message.Credit.class, (peer, credit) -> models.applyCredit(credit)),
                on(Message.Cancel.class, (peer, cancel) -> models.cancel(cancel.id())),
                on(Message.Call.class, this::call),
                on(Message.CloseToken.class, calls::closeToken),
                on(Message.StatusRequest.class, (peer, request) -> sendStatus(peer, request.id())),
                on(Message.Drain.class, this::drain));
    }

    /** Returns the entry of {@link #handlers} for one type of message. */
    private static <M extends Message> Map.Entry<Class<M>, BiConsumer<Peer, Message>> on(
            Class<M> type, BiConsumer<Peer, M> handler) {
        return Map.entry(type, (peer, message) -> handler.accept(peer, type.cast(message)));
    }

    // -- construction

    static SidecarEventHandler of(
            SidecarIdentity identity,
            ModelRequests models,
            PlainServiceCalls calls,
            BackendMonitor monitor,
            SidecarMetrics metrics,
            LongSupplier nanoTime) {
        return new SidecarEventHandler(identity, models, calls, monitor, metrics, nanoTime);
    }

    // -- commands

    @Override
    public void handle(SidecarEvent event) {
        event.handle(this);
    }

    @Override
    public void tick() {
        peers.stream().filter(peer -> !peer.isOpen()).toList().forEach(this::removePeer);
        monitor.tick(nanoTime.getAsLong());
        models.tick();
        metrics.updateGauges(models.index().counts(), models.waiting(), models.running());
        status = currentStatus();
        completeLeavingIfIdle();
        reportIdleIfQuiesced();
    }

    @Override
    public boolean isIdle() {
        return models.waiting() + models.running() + calls.size() == 0 && leaveCompletion.isEmpty();
    }

    // -- commands: peers

    void addPeer(Peer peer) {
        peers.add(peer);
        peer.send(state());
    }

    void removePeer(Peer peer) {
        peers.remove(peer);
        models.removePeer(peer);
    }

    void handleMessage(Peer peer, Message message) {
        Optional.ofNullable(handlers.get(message.getClass())).ifPresent(handler -> handler.accept(peer, message));
    }

    private void submit(Peer peer, Message.Submit submit) {
        if (isLeaving()) {
            models.refused(ModelAttempt.of(peer, submit), leavingRefusal());
        } else {
            models.submit(peer, submit, backend);
        }
    }

    private void call(Peer peer, Message.Call call) {
        if (isLeaving()) {
            calls.refuse(peer, call.id(), leavingRefusal());
        } else if (backend.service().isEmpty()) {
            calls.refuse(peer, call.id(), Refusal.notRun(Reason.UNKNOWN_SERVICE, "no plain service is served here"));
        } else {
            calls.call(peer, call);
        }
    }

    private void drain(Peer peer, Message.Drain drain) {
        leave(new CompletableFuture<>());
        sendStatus(peer, drain.id());
    }

    private void sendStatus(Peer peer, long id) {
        peer.send(new Message.StatusResponse(id, json(currentStatus())));
    }

    // -- commands: the backend server

    /** Applies an observed state, unless it is unchanged or its incarnation is older than the cache index's. */
    void updateBackend(BackendState observed) {
        orderController.ifPresent(controller -> controller.updateObserved(observed));
        if (observed.equals(backend)
                || (observed.isUp() && observed.incarnation() < models.index().incarnation())) {
            return;
        }
        LogEvent.of("backend_changed")
                .with("incarnation", observed.incarnation())
                .with("model", observed.modelVersion())
                .with("weights", observed.weightsDigest())
                .info();
        models.refuseWaiting(changeRefusal(observed));
        if (observed.isUp() && observed.service().isEmpty()) {
            models.index().observeIncarnation(observed.incarnation());
        }
        backend = observed;
        broadcastState();
    }

    void cacheStreamEnded() {
        monitor.cacheStreamEnded();
    }

    void applyCacheSnapshot(Optional<CacheSnapshot> snapshot) {
        snapshot.ifPresent(models.index()::replace);
        monitor.cacheReadFinished();
    }

    /** Returns the refusal of the requests that wait while the backend server changes to the observed state. */
    private Refusal changeRefusal(BackendState observed) {
        if (!observed.isUp()) {
            return Refusal.notRun(Reason.NO_BACKEND, "the engine does not answer");
        }
        return observed.incarnation() == backend.incarnation()
                ? Refusal.notRun(Reason.WRONG_WEIGHTS, "the engine loaded other weights")
                : Refusal.notRun(Reason.STALE_INCARNATION, "the engine restarted");
    }

    // -- commands: orders

    /** Sets the controller that sends orders to the engine; call before the worker starts. */
    void setOrderController(OrderController controller) {
        orderController = Optional.of(controller);
    }

    /**
     * Stops or resumes accepting new work, so that an order can be carried out in between. When stopping, waiting
     * requests are refused and running ones finish.
     */
    void setQuiesced(boolean nowQuiesced) {
        boolean wasLeaving = isLeaving();
        quiesced = nowQuiesced;
        if (nowQuiesced) {
            models.refuseWaiting(Refusal.notRun(Reason.WRONG_WEIGHTS, "the engine is about to load other weights"));
        }
        announceLeavingChange(wasLeaving);
        reportIdleIfQuiesced();
    }

    private void reportIdleIfQuiesced() {
        if (quiesced && models.running() == 0) {
            orderController.ifPresent(OrderController::reportIdle);
        }
    }

    // -- commands: leaving

    /**
     * Accepts no new work from now on, and completes the future once all work has finished and its responses are sent.
     */
    void leave(CompletableFuture<Void> finished) {
        boolean wasLeaving = isLeaving();
        leaveCompletion.ifPresent(pending -> pending.thenRun(() -> finished.complete(null)));
        leaveCompletion = leaveCompletion.or(() -> Optional.of(finished));
        announceLeavingChange(wasLeaving);
        completeLeavingIfIdle();
    }

    /** Sets whether the platform lists this host as leaving; while it does, no new work is accepted. */
    void setListedLeaving(boolean nowListed) {
        boolean wasLeaving = isLeaving();
        listedLeaving = nowListed;
        announceLeavingChange(wasLeaving);
    }

    private void announceLeavingChange(boolean wasLeaving) {
        if (wasLeaving != isLeaving()) {
            LogEvent.of("leaving_changed")
                    .with("leaving", isLeaving())
                    .with("running", models.running())
                    .info();
            broadcastState();
        }
    }

    private void completeLeavingIfIdle() {
        boolean idle = models.waiting() + models.running() + calls.size() == 0;
        if (idle && peers.stream().allMatch(Peer::isFlushed)) {
            leaveCompletion.ifPresent(future -> future.complete(null));
        }
    }

    private void broadcastState() {
        List.copyOf(peers).forEach(peer -> peer.send(state()));
    }

    // -- queries

    ModelRequests models() {
        return models;
    }

    PlainServiceCalls calls() {
        return calls;
    }

    /** Returns the status as of the last tick; callable from any thread. */
    ProcessStatus status() {
        return status;
    }

    private boolean isLeaving() {
        return quiesced || listedLeaving || leaveCompletion.isPresent();
    }

    private Message.SidecarState state() {
        return backend.toMessage(isLeaving(), models.estimatedWaitMicros());
    }

    private ProcessStatus currentStatus() {
        return identity.status(backend, isLeaving(), models.running() + calls.size(), models.waiting());
    }

    private static String json(ProcessStatus value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode the process status as JSON", e);
        }
    }

    private static Refusal leavingRefusal() {
        return Refusal.notRun(Reason.LEAVING, "the backend server is leaving");
    }
}

package org.geraniumford.daemon.calls;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumford.core.store.Store;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.entry.ServiceCaller;
import org.geraniumford.daemon.entry.SidecarClient;
import org.geraniumford.transport.worker.Worker;

/**
 * Runs each call that is not idempotent at most once, by means of a claim in the platform's tables. Log events and
 * refusals refer to it as the ledger. Thread-safe.
 */
public final class AtMostOnceServiceCaller implements ServiceCaller, AutoCloseable {
    /** The largest number of calls that run at once; further calls are refused. */
    public static final int MAX_ACTIVE_CALLS = 4_096;

    /** A call has at most two outcomes in flight at once, so the ring always has room for them. */
    private static final int RING_EVENTS = 4 * MAX_ACTIVE_CALLS;

    private static final Duration TICK = Duration.ofSeconds(1);

    private final AtomicInteger activeCalls = new AtomicInteger();
    private final AtomicLong lastId = new AtomicLong();
    private final Worker<ClaimHandlerEvent> worker;

    private AtMostOnceServiceCaller(ClaimHandler handler) {
        this.worker = Worker.start("ledger", RING_EVENTS, TICK, handler);
        handler.attach(worker::offer);
    }

    // -- construction

    /**
     * Starts the at-most-once caller of an entry, with a worker thread of its own.
     *
     * @param store the store that holds the claims
     * @param sidecars the client of the plain services' sidecars
     * @param processId the entry's name
     * @param incarnation the entry's incarnation: its start, in microseconds since the epoch
     * @return a caller without running calls
     */
    public static AtMostOnceServiceCaller start(
            Store store, SidecarClient sidecars, String processId, long incarnation) {
        requireNonNull(store, "store is null");
        requireNonNull(sidecars, "sidecars is null");
        requireNonNull(processId, "processId is null");
        return new AtMostOnceServiceCaller(new ClaimHandler(store, sidecars, processId + "/" + incarnation));
    }

    // -- commands

    @Override
    public CompletableFuture<Message.CallResponse> call(ServiceRequest request) {
        requireNonNull(request, "request is null");
        if (request.idempotencyKey().isEmpty()) {
            return refused(Reason.IDEMPOTENCY_KEY_MISSING, "the call needs the header field Idempotency-Key");
        } else if (activeCalls.incrementAndGet() > MAX_ACTIVE_CALLS) {
            activeCalls.decrementAndGet();
            return refused(Reason.RING_FULL, "too many calls that may not be repeated are running");
        }
        CompletableFuture<Message.CallResponse> completion = new CompletableFuture<>();
        Runnable onEnd = activeCalls::decrementAndGet;
        if (!worker.offer(new ClaimHandlerEvent.CallRequested(lastId.incrementAndGet(), request, completion, onEnd))) {
            activeCalls.decrementAndGet();
            return refused(Reason.RING_FULL, "the ledger takes no more calls");
        }
        return completion;
    }

    /** Stops the worker. The futures of running calls never complete, but the calls' claims stay in the store. */
    @Override
    public void close() {
        worker.close();
    }

    private static CompletableFuture<Message.CallResponse> refused(Reason reason, String detail) {
        return CompletableFuture.failedFuture(Refusal.notRun(reason, detail).toException());
    }
}

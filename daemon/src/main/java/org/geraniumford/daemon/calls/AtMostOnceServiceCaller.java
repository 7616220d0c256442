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

/** Makes calls that are not idempotent at most once each, by claims in the platform's tables. Thread-safe. */
public final class AtMostOnceServiceCaller implements ServiceCaller, AutoCloseable {
    /** The largest number of calls that run at once. */
    public static final int MAX_ACTIVE_CALLS = 4_096;

    /** A call has at most two outcomes on their way at once, so that their place in the ring is certain. */
    private static final int RING_EVENTS = 4 * MAX_ACTIVE_CALLS;

    private static final Duration TICK = Duration.ofSeconds(1);

    private final AtomicInteger activeCalls = new AtomicInteger();
    private final AtomicLong nextId = new AtomicLong();
    private final Worker<ClaimHandlerEvent> worker;

    private AtMostOnceServiceCaller(ClaimHandler handler) {
        this.worker = Worker.start("ledger", RING_EVENTS, TICK, handler);
        handler.attach(worker::offer);
    }

    // -- construction

    /**
     * Starts the ledger of an entry.
     *
     * @param store holds the claims
     * @param gateway reaches the sidecars of plain services
     * @param processId the entry's name
     * @param incarnation the entry's start, in microseconds since the epoch
     * @return a ledger without calls
     */
    public static AtMostOnceServiceCaller start(
            Store store, SidecarClient gateway, String processId, long incarnation) {
        requireNonNull(store, "store is null");
        requireNonNull(gateway, "gateway is null");
        requireNonNull(processId, "processId is null");
        return new AtMostOnceServiceCaller(new ClaimHandler(store, gateway, processId + "/" + incarnation));
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
        Runnable ended = activeCalls::decrementAndGet;
        if (!worker.offer(new ClaimHandlerEvent.CallRequested(nextId.incrementAndGet(), request, completion, ended))) {
            activeCalls.decrementAndGet();
            return refused(Reason.RING_FULL, "the ledger takes no more calls");
        }
        return completion;
    }

    /** Stops the ledger; calls that still run get no answer here, but keep their claims. */
    @Override
    public void close() {
        worker.close();
    }

    private static CompletableFuture<Message.CallResponse> refused(Reason reason, String detail) {
        return CompletableFuture.failedFuture(Refusal.notRun(reason, detail).toException());
    }
}

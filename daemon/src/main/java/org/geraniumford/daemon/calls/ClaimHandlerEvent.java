package org.geraniumford.daemon.calls;

import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.idempotency.ClaimEvent;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.store.StoreResponse;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.entry.ServiceCaller.ServiceRequest;

/** An event that the worker of {@link AtMostOnceServiceCaller} handles. */
sealed interface ClaimHandlerEvent {
    /**
     * A caller requested a call.
     *
     * @param id the call's identifier, unique within its {@link AtMostOnceServiceCaller}
     * @param request the call
     * @param completion completed with the response, or with a refusal
     * @param onEnd run when the call needs no further action
     */
    record CallRequested(
            long id, ServiceRequest request, CompletableFuture<Message.CallResponse> completion, Runnable onEnd)
            implements ClaimHandlerEvent {}

    /**
     * An action of a call completed.
     *
     * @param id the call's identifier
     * @param event the outcome
     */
    record ActionCompleted(long id, ClaimEvent event) implements ClaimHandlerEvent {}

    /**
     * A delayed request to the store is due.
     *
     * @param id the call's identifier
     * @param request the request to send now
     */
    record StoreRequestDue(long id, StoreRequest request) implements ClaimHandlerEvent {}

    /**
     * The running transaction completed.
     *
     * @param response the store's response
     */
    record TransactionCompleted(StoreResponse response) implements ClaimHandlerEvent {}
}

package org.geraniumford.daemon.calls;

import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.idempotency.ClaimEvent;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.store.StoreResponse;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.entry.ServiceCaller.ServiceRequest;

/** What the ledger's duty handles. */
sealed interface ClaimHandlerEvent {
    /**
     * A caller asks for a call.
     *
     * @param id the call's identifier in this ledger
     * @param request the call
     * @param completion takes the answer
     * @param onEnd runs once nothing is left to do for the call
     */
    record CallRequested(
            long id, ServiceRequest request, CompletableFuture<Message.CallResponse> completion, Runnable onEnd)
            implements ClaimHandlerEvent {}

    /**
     * An action of a call has its outcome.
     *
     * @param id the call
     * @param event the outcome
     */
    record ActionCompleted(long id, ClaimEvent event) implements ClaimHandlerEvent {}

    /**
     * A delayed request to the store is due.
     *
     * @param id the call
     * @param request the request
     */
    record StoreRequestDue(long id, StoreRequest request) implements ClaimHandlerEvent {}

    /**
     * The running transaction has its answer.
     *
     * @param response the answer
     */
    record TransactionCompleted(StoreResponse response) implements ClaimHandlerEvent {}
}

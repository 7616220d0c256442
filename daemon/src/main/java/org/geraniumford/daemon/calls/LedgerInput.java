package org.geraniumford.daemon.calls;

import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.ledger.ClaimEvent;
import org.geraniumford.core.store.StoreReply;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.entry.ServiceCaller.ServiceRequest;

/** What the ledger's duty handles. */
sealed interface LedgerInput {
    /**
     * A caller asks for a call.
     *
     * @param id the call's identifier in this ledger
     * @param request the call
     * @param completion takes the answer
     * @param ended runs once nothing is left to do for the call
     */
    record Begin(long id, ServiceRequest request, CompletableFuture<Message.CallResult> completion, Runnable ended)
            implements LedgerInput {}

    /**
     * An action of a call has its outcome.
     *
     * @param id the call
     * @param event the outcome
     */
    record Happened(long id, ClaimEvent event) implements LedgerInput {}

    /**
     * A delayed request to the store is due.
     *
     * @param id the call
     * @param request the request
     */
    record Due(long id, StoreRequest request) implements LedgerInput {}

    /**
     * The running transaction has its answer.
     *
     * @param reply the answer
     */
    record Committed(StoreReply reply) implements LedgerInput {}
}

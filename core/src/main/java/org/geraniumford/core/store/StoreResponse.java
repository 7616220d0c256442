package org.geraniumford.core.store;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.geraniumford.core.verdict.Refusal;

/** The store's response to a {@link StoreRequest}. */
public sealed interface StoreResponse {
    /**
     * The response to {@link StoreRequest.ReadRow}.
     *
     * @param row the row, or empty if it does not exist
     */
    record Row(Optional<TableRow> row) implements StoreResponse {}

    /**
     * The response to {@link StoreRequest.ReadObject}.
     *
     * @param content the content, or empty if the object does not exist
     */
    record ObjectContent(Optional<String> content) implements StoreResponse {}

    /** The response to {@link StoreRequest.WriteObject}. */
    record Written() implements StoreResponse {}

    /**
     * The response to {@link StoreRequest.Transact}.
     *
     * @param result the result of the transaction
     */
    record Transaction(TransactionResult result) implements StoreResponse {}

    /**
     * Indicates that the request failed.
     *
     * @param refusal the reason; its verdict indicates whether a write may have taken effect
     */
    record Failed(Refusal refusal) implements StoreResponse {
        /** Checks the component. */
        public Failed {
            requireNonNull(refusal, "refusal is null");
        }
    }
}

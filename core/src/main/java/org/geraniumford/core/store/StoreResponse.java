package org.geraniumford.core.store;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.geraniumford.core.verdict.Refusal;

/** What the store answered to a {@link StoreRequest}. */
public sealed interface StoreResponse {
    /**
     * Answers {@link StoreRequest.ReadRow}.
     *
     * @param row the row, or empty if it does not exist
     */
    record Row(Optional<TableRow> row) implements StoreResponse {}

    /**
     * Answers {@link StoreRequest.ReadObject}.
     *
     * @param content the content, or empty if there is no such blob
     */
    record ObjectContent(Optional<String> content) implements StoreResponse {}

    /** Answers {@link StoreRequest.WriteObject}. */
    record Written() implements StoreResponse {}

    /**
     * Answers {@link StoreRequest.Transact}.
     *
     * @param result what became of the writes
     */
    record Transaction(TransactionResult result) implements StoreResponse {}

    /**
     * Says that no answer came.
     *
     * @param refusal why; its verdict says whether a write may have taken effect
     */
    record Failed(Refusal refusal) implements StoreResponse {
        /** Checks the component. */
        public Failed {
            requireNonNull(refusal, "refusal is null");
        }
    }
}

package org.geraniumford.core.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;

/** A request to the store. */
public sealed interface StoreRequest {
    /**
     * Performs the request.
     *
     * @param store the store
     * @return the store's response; a failure becomes {@link StoreResponse.Failed}, so the future never fails
     */
    CompletableFuture<StoreResponse> perform(Store store);

    /**
     * Reads a row.
     *
     * @param table the table's name
     * @param row the row's name
     */
    record ReadRow(String table, String row) implements StoreRequest {
        @Override
        public CompletableFuture<StoreResponse> perform(Store store) {
            return toResponse(store.row(table, row).thenApply(StoreResponse.Row::new));
        }
    }

    /**
     * Reads an object.
     *
     * @param digest the hexadecimal SHA-256 digest of the object's content
     */
    record ReadObject(String digest) implements StoreRequest {
        @Override
        public CompletableFuture<StoreResponse> perform(Store store) {
            return toResponse(store.object(digest).thenApply(StoreResponse.ObjectContent::new));
        }
    }

    /**
     * Writes an object.
     *
     * @param digest the hexadecimal SHA-256 digest of its content
     * @param content the content as text
     */
    record WriteObject(String digest, String content) implements StoreRequest {
        @Override
        public CompletableFuture<StoreResponse> perform(Store store) {
            return toResponse(store.putObject(digest, content).thenApply(done -> new StoreResponse.Written()));
        }
    }

    /**
     * Applies all writes or none of them.
     *
     * @param operations the writes
     */
    record Transact(List<TableOperation> operations) implements StoreRequest {
        /** Copies the list. */
        public Transact {
            operations = List.copyOf(operations);
        }

        @Override
        public CompletableFuture<StoreResponse> perform(Store store) {
            return toResponse(store.transact(operations).thenApply(StoreResponse.Transaction::new));
        }
    }

    private static CompletableFuture<StoreResponse> toResponse(CompletableFuture<? extends StoreResponse> future) {
        return future.handle((response, failure) -> failure == null
                ? response
                : new StoreResponse.Failed(RefusalException.refusalOf(failure, Verdict.MAY_HAVE_RUN)));
    }
}

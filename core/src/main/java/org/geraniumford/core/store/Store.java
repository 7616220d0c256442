package org.geraniumford.core.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's table service and object store. Futures fail with a
 * {@link org.geraniumford.core.verdict.RefusalException}: its verdict {@code NOT_RUN} means that a write had no effect,
 * and {@code MAY_HAVE_RUN} that the write's effect is unknown until the data is read back.
 */
public interface Store {
    // -- queries

    /**
     * Reads a row.
     *
     * @param table the table's name
     * @param row the row's name
     * @return the row, or empty if it does not exist
     */
    CompletableFuture<Optional<TableRow>> row(String table, String row);

    /**
     * Reads rows in the order of their names.
     *
     * @param table the table's name
     * @param after the name after which the rows begin; empty to begin with the first row
     * @param limit the maximum number of rows
     * @return the rows
     */
    CompletableFuture<List<TableRow>> rows(String table, String after, int limit);

    /**
     * Reads an object.
     *
     * @param digest the hexadecimal SHA-256 digest of the object's content
     * @return the content as text, or empty if the object does not exist
     */
    CompletableFuture<Optional<String>> object(String digest);

    // -- commands

    /**
     * Applies all writes or none of them.
     *
     * @param operations the writes
     * @return the result of the transaction
     */
    CompletableFuture<TransactionResult> transact(List<TableOperation> operations);

    /**
     * Writes an object. Writing the same object again has no further effect.
     *
     * @param digest the hexadecimal SHA-256 digest of the content
     * @param content the content as text
     * @return a future that completes when the object is stored
     */
    CompletableFuture<Void> putObject(String digest, String content);
}

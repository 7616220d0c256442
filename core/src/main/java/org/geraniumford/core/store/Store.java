package org.geraniumford.core.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's table service and object store. Futures fail with a
 * {@link org.geraniumford.core.verdict.RefusalException}: its verdict {@code NOT_RUN} says that a write had no effect,
 * {@code MAY_HAVE_RUN} that only reading back can tell.
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
     * @param after the name before the first row; empty starts at the first one
     * @param limit the largest number of rows
     * @return the rows
     */
    CompletableFuture<List<TableRow>> rows(String table, String after, int limit);

    /**
     * Reads a blob.
     *
     * @param digest the hexadecimal SHA-256 digest of its content
     * @return the content as text, or empty if there is none
     */
    CompletableFuture<Optional<String>> object(String digest);

    // -- commands

    /**
     * Applies all writes or none.
     *
     * @param operations the writes
     * @return what became of them
     */
    CompletableFuture<TransactionResult> transact(List<TableOperation> operations);

    /**
     * Writes a blob; writing it again has no further effect.
     *
     * @param digest the hexadecimal SHA-256 digest of the content
     * @param content the content as text
     * @return done once it is stored
     */
    CompletableFuture<Void> putObject(String digest, String content);
}

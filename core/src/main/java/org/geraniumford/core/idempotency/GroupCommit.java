package org.geraniumford.core.idempotency;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.store.StoreResponse;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TransactionResult;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;

/**
 * Groups the writes of many claims into one transaction. While a transaction runs, further writes are queued for the
 * next one. If some rows conflict, their writes fail and the other writes are retried. Not thread-safe.
 */
public final class GroupCommit {
    /** The maximum number of writes in one transaction. */
    public static final int MAX_WRITES = 128;

    private final Map<Long, TableOperation> waiting = new LinkedHashMap<>();
    private Map<Long, TableOperation> running = Map.of();

    private GroupCommit() {}

    /**
     * The result of one write.
     *
     * @param id the write's identifier
     * @param response the store's response, as if the write had been a transaction of its own
     */
    public record WriteResult(long id, StoreResponse response) {}

    // -- construction

    /**
     * Creates a group commit without writes.
     *
     * @return a new instance
     */
    public static GroupCommit empty() {
        return new GroupCommit();
    }

    // -- commands

    /**
     * Adds a write.
     *
     * @param id the write's identifier, unique among the writes without a result
     * @param operation the write
     */
    public void add(long id, TableOperation operation) {
        waiting.put(id, operation);
    }

    /**
     * Starts the next transaction if none is running. It contains at most one write per row.
     *
     * @return the transaction to send, or empty if one is running or no write is waiting
     */
    public Optional<StoreRequest.Transact> startNextTransaction() {
        if (!running.isEmpty() || waiting.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Long> idsByRow = new LinkedHashMap<>();
        waiting.forEach((id, operation) -> {
            if (idsByRow.size() < MAX_WRITES) {
                idsByRow.putIfAbsent(operation.table() + "/" + operation.row(), id);
            }
        });
        running = new LinkedHashMap<>();
        idsByRow.values().forEach(id -> running.put(id, waiting.remove(id)));
        return Optional.of(new StoreRequest.Transact(List.copyOf(running.values())));
    }

    /**
     * Processes the response to the running transaction.
     *
     * @param response the store's response
     * @return the results of the writes that are complete; the other writes wait for the next transaction
     */
    public List<WriteResult> handleResponse(StoreResponse response) {
        Map<Long, TableOperation> batch = running;
        running = Map.of();
        if (response instanceof StoreResponse.Transaction transaction) {
            return transaction.result() instanceof TransactionResult.Committed committed
                    ? committedResults(batch, committed)
                    : handleConflicts(batch, (TransactionResult.Conflicted) transaction.result());
        }
        return batch.keySet().stream().map(id -> new WriteResult(id, response)).toList();
    }

    private static List<WriteResult> committedResults(
            Map<Long, TableOperation> batch, TransactionResult.Committed result) {
        List<WriteResult> results = new ArrayList<>();
        batch.keySet()
                .forEach(id -> results.add(new WriteResult(
                        id,
                        new StoreResponse.Transaction(new TransactionResult.Committed(
                                List.of(result.versions().get(results.size())))))));
        return results;
    }

    private List<WriteResult> handleConflicts(Map<Long, TableOperation> batch, TransactionResult.Conflicted result) {
        List<WriteResult> results = new ArrayList<>();
        Map<Long, TableOperation> retried = new LinkedHashMap<>();
        batch.forEach((id, operation) -> result.conflict(operation.table(), operation.row())
                .ifPresentOrElse(
                        conflict -> results.add(new WriteResult(id, singleConflict(conflict))),
                        () -> retried.put(id, operation)));
        if (results.isEmpty()) {
            return unknownConflictResults(batch);
        }
        Map<Long, TableOperation> queuedMeanwhile = new LinkedHashMap<>(waiting);
        waiting.clear();
        waiting.putAll(retried);
        waiting.putAll(queuedMeanwhile);
        return results;
    }

    /** Returns a failure of each write of a transaction whose conflicts concern none of the rows written. */
    private static List<WriteResult> unknownConflictResults(Map<Long, TableOperation> batch) {
        Refusal refusal = Refusal.of(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, "the conflict names no row of ours");
        return batch.keySet().stream()
                .map(id -> new WriteResult(id, new StoreResponse.Failed(refusal)))
                .toList();
    }

    private static StoreResponse singleConflict(TransactionResult.Conflict conflict) {
        return new StoreResponse.Transaction(new TransactionResult.Conflicted(List.of(conflict)));
    }
}

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
 * Puts the writes of many claims into one transaction: while one runs, later writes gather for the next. A write whose
 * row is not as expected is taken out, and the others are tried again. Not thread-safe.
 */
public final class GroupCommit {
    /** The largest number of writes in one transaction. */
    public static final int MAX_WRITES = 128;

    private final Map<Long, TableOperation> waiting = new LinkedHashMap<>();
    private Map<Long, TableOperation> running = Map.of();

    private GroupCommit() {}

    /**
     * The answer to one write.
     *
     * @param id the write's identifier
     * @param response the answer, as if the write had been a transaction of its own
     */
    public record WriteResult(long id, StoreResponse response) {}

    // -- construction

    /**
     * Creates a committer.
     *
     * @return a committer without writes
     */
    public static GroupCommit empty() {
        return new GroupCommit();
    }

    // -- commands

    /**
     * Adds a write.
     *
     * @param id identifies it, unique among those not yet delivered
     * @param operation the write
     */
    public void add(long id, TableOperation operation) {
        waiting.put(id, operation);
    }

    /**
     * Starts the next transaction if none runs.
     *
     * @return the transaction to send, or empty if there is nothing to do now
     */
    public Optional<StoreRequest.Transact> startNextTransaction() {
        if (!running.isEmpty() || waiting.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Long> rows = new LinkedHashMap<>();
        waiting.forEach((id, operation) -> {
            if (rows.size() < MAX_WRITES) {
                rows.putIfAbsent(operation.table() + "/" + operation.row(), id);
            }
        });
        running = new LinkedHashMap<>();
        rows.values().forEach(id -> running.put(id, waiting.remove(id)));
        return Optional.of(new StoreRequest.Transact(List.copyOf(running.values())));
    }

    /**
     * Takes the answer to the running transaction.
     *
     * @param reply the answer
     * @return the answers to the writes that are settled; the others wait for the next transaction
     */
    public List<WriteResult> handleResponse(StoreResponse reply) {
        Map<Long, TableOperation> batch = running;
        running = Map.of();
        if (reply instanceof StoreResponse.Transaction transaction) {
            return transaction.result() instanceof TransactionResult.Committed committed
                    ? committedResults(batch, committed)
                    : handleConflicts(batch, (TransactionResult.Conflicted) transaction.result());
        }
        return batch.keySet().stream().map(id -> new WriteResult(id, reply)).toList();
    }

    private static List<WriteResult> committedResults(
            Map<Long, TableOperation> batch, TransactionResult.Committed result) {
        List<WriteResult> deliveries = new ArrayList<>();
        batch.keySet()
                .forEach(id -> deliveries.add(new WriteResult(
                        id,
                        new StoreResponse.Transaction(new TransactionResult.Committed(
                                List.of(result.versions().get(deliveries.size())))))));
        return deliveries;
    }

    private List<WriteResult> handleConflicts(Map<Long, TableOperation> batch, TransactionResult.Conflicted result) {
        List<WriteResult> deliveries = new ArrayList<>();
        Map<Long, TableOperation> retried = new LinkedHashMap<>();
        batch.forEach((id, operation) -> result.conflict(operation.table(), operation.row())
                .ifPresentOrElse(
                        conflict -> deliveries.add(new WriteResult(id, singleConflict(conflict))),
                        () -> retried.put(id, operation)));
        if (deliveries.isEmpty()) {
            return unknownConflictResults(batch);
        }
        Map<Long, TableOperation> later = new LinkedHashMap<>(waiting);
        waiting.clear();
        waiting.putAll(retried);
        waiting.putAll(later);
        return deliveries;
    }

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

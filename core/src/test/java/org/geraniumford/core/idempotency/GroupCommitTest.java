package org.geraniumford.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.geraniumford.core.store.FaultyStore;
import org.geraniumford.core.store.FaultyStore.Fault;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.store.StoreResponse;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TransactionResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class GroupCommitTest {
    private final FaultyStore store = new FaultyStore();
    private final GroupCommit groupCommit = GroupCommit.empty();
    private final Map<Long, StoreResponse> responses = new HashMap<>();

    @Test
    void shouldUseOneTransactionForAllWritesWhenTheyAreQueuedTogether() {
        LongStream.range(0, 100).forEach(id -> groupCommit.add(id, insert("row-" + id)));
        assertThat(commitAll(Fault.NONE)).isEqualTo(1);
        assertThat(responses)
                .hasSize(100)
                .allSatisfy((id, response) -> assertThat(committed(response)).isTrue());
    }

    @Test
    void shouldFailOnlyTheConflictingWritesWhenSomeRowsExist() {
        groupCommit.add(1, insert("taken"));
        commitAll(Fault.NONE);
        groupCommit.add(2, insert("free-1"));
        groupCommit.add(3, insert("taken"));
        groupCommit.add(4, insert("free-2"));
        commitAll(Fault.NONE);
        assertThat(committed(responses.get(2L))).isTrue();
        assertThat(committed(responses.get(3L))).isFalse();
        assertThat(committed(responses.get(4L))).isTrue();
    }

    @Test
    void shouldCommitOnlyOneWhenTwoWritesOfOneRowAreQueuedTogether() {
        groupCommit.add(1, insert("row"));
        groupCommit.add(2, insert("row"));
        commitAll(Fault.NONE);
        assertThat(committed(responses.get(1L))).isTrue();
        assertThat(committed(responses.get(2L))).isFalse();
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void shouldFailEveryWriteWhenTheTransactionGetsNoResponse(Fault fault) {
        groupCommit.add(1, insert("a"));
        groupCommit.add(2, insert("b"));
        commitAll(fault);
        assertThat(responses.values()).hasSize(2).hasOnlyElementsOfType(StoreResponse.Failed.class);
    }

    /** Commits all queued writes, records their responses, and returns the number of transactions. */
    private int commitAll(Fault fault) {
        int transactions = 0;
        for (var next = groupCommit.startNextTransaction();
                next.isPresent();
                next = groupCommit.startNextTransaction()) {
            transactions++;
            StoreRequest request = next.orElseThrow();
            groupCommit
                    .handleResponse(store.perform(request, fault))
                    .forEach(result -> responses.put(result.id(), result.response()));
        }
        return transactions;
    }

    private static TableOperation insert(String row) {
        return TableOperation.insert(Claim.TABLE, row, "value");
    }

    private static boolean committed(StoreResponse response) {
        return response instanceof StoreResponse.Transaction transaction
                && transaction.result().equals(new TransactionResult.Committed(versions(transaction)));
    }

    /** Returns the versions of the rows of a committed transaction; empty if it conflicted. */
    private static List<Long> versions(StoreResponse.Transaction transaction) {
        return transaction.result() instanceof TransactionResult.Committed committed ? committed.versions() : List.of();
    }
}

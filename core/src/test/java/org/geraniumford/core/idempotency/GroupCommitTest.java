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
    private final GroupCommit commits = GroupCommit.empty();
    private final Map<Long, StoreResponse> replies = new HashMap<>();

    @Test
    void shouldUseOneTransactionForAllWritesWhenTheyWaitTogether() {
        LongStream.range(0, 100).forEach(id -> commits.add(id, insert("row-" + id)));
        assertThat(drive(Fault.NONE)).isEqualTo(1);
        assertThat(replies)
                .hasSize(100)
                .allSatisfy((id, reply) -> assertThat(committed(reply)).isTrue());
    }

    @Test
    void shouldTellOnlyTheConflictingOnesWhenSomeRowsAreTaken() {
        commits.add(1, insert("taken"));
        drive(Fault.NONE);
        commits.add(2, insert("free-1"));
        commits.add(3, insert("taken"));
        commits.add(4, insert("free-2"));
        drive(Fault.NONE);
        assertThat(committed(replies.get(2L))).isTrue();
        assertThat(committed(replies.get(3L))).isFalse();
        assertThat(committed(replies.get(4L))).isTrue();
    }

    @Test
    void shouldLetOneWinWhenTwoWritesOfOneRowWaitTogether() {
        commits.add(1, insert("row"));
        commits.add(2, insert("row"));
        drive(Fault.NONE);
        assertThat(committed(replies.get(1L))).isTrue();
        assertThat(committed(replies.get(2L))).isFalse();
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void shouldTellEveryWriteWhenTheTransactionBringsNoAnswer(Fault fault) {
        commits.add(1, insert("a"));
        commits.add(2, insert("b"));
        drive(fault);
        assertThat(replies.values()).hasSize(2).hasOnlyElementsOfType(StoreResponse.Failed.class);
    }

    private int drive(Fault fault) {
        int transactions = 0;
        for (var next = commits.startNextTransaction(); next.isPresent(); next = commits.startNextTransaction()) {
            transactions++;
            StoreRequest request = next.orElseThrow();
            commits.handleResponse(store.perform(request, fault)).forEach(one -> replies.put(one.id(), one.response()));
        }
        return transactions;
    }

    private static TableOperation insert(String row) {
        return TableOperation.insert(Claim.TABLE, row, "value");
    }

    private static boolean committed(StoreResponse reply) {
        return reply instanceof StoreResponse.Transaction transaction
                && transaction.result().equals(new TransactionResult.Committed(versions(transaction)));
    }

    private static List<Long> versions(StoreResponse.Transaction transaction) {
        return transaction.result() instanceof TransactionResult.Committed done ? done.versions() : List.of();
    }
}

package org.geraniumford.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

final class WeightsLeaseTest {
    private static final Duration SPACING = Duration.ofSeconds(4);
    private static final Duration RETENTION = Duration.ofSeconds(9);

    private static OrderIntent intent(String server, String holder, long recordedMillis) {
        return new OrderIntent(server, "model", 2, holder, recordedMillis, false);
    }

    @Test
    void shouldReturnEqualLeaseWhenEncodedAndDecoded() {
        WeightsLease lease = new WeightsLease(3, "host-a", 17, List.of(intent("s1", "host-a", 16)));
        assertThat(WeightsLease.decode(lease.encode())).contains(lease);
        assertThat(WeightsLease.decode(WeightsLease.empty()
                        .renewedBy("h", 1, List.of(), RETENTION)
                        .encode()))
                .isPresent();
    }

    @Test
    void shouldReturnEmptyWhenRowIsNotALease() {
        assertThat(WeightsLease.decode("")).isEmpty();
        assertThat(WeightsLease.decode("a b c")).isEmpty();
        assertThat(WeightsLease.decode("1 host 5\nserver")).isEmpty();
    }

    @Test
    void shouldIncreaseFencingTokenOnlyWhenHolderChanges() {
        WeightsLease first = WeightsLease.empty().renewedBy("host-a", 10, List.of(), RETENTION);
        assertThat(first.fencingToken()).isEqualTo(1);
        assertThat(first.renewedBy("host-a", 20, List.of(), RETENTION).fencingToken())
                .isEqualTo(1);
        assertThat(first.renewedBy("host-b", 20, List.of(), RETENTION).fencingToken())
                .isEqualTo(2);
    }

    @Test
    void shouldNotAllowOrderOfNewHolderUntilSpacingHasPassed() {
        WeightsLease lease =
                WeightsLease.empty().renewedBy("host-a", 1000, List.of(intent("s1", "host-a", 1000)), RETENTION);
        assertThat(lease.canOrder("s1", "host-b", 4900, SPACING)).isFalse();
        assertThat(lease.canOrder("s1", "host-b", 5001, SPACING)).isTrue();
        assertThat(lease.canOrder("s1", "host-a", 1001, SPACING)).isTrue();
        assertThat(lease.canOrder("s2", "host-b", 1001, SPACING)).isTrue();
    }

    @Test
    void shouldKeepIntentsOfEarlierHolderUntilRetentionHasPassed() {
        WeightsLease lease =
                WeightsLease.empty().renewedBy("host-a", 1000, List.of(intent("s1", "host-a", 1000)), RETENTION);
        WeightsLease successorLease = lease.renewedBy("host-b", 2000, List.of(intent("s2", "host-b", 2000)), RETENTION);
        assertThat(successorLease.canOrder("s1", "host-b", 2001, SPACING)).isFalse();
        assertThat(successorLease
                        .renewedBy("host-b", 11_000, List.of(), RETENTION)
                        .intents())
                .hasSize(0);
    }
}

package org.geraniumford.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class WeightsLeaseTest {
    private static final Duration SPACING = Duration.ofSeconds(4);
    private static final Duration RETENTION = Duration.ofSeconds(9);

    private static OrderIntent intent(String server, String holder, long recordedMillis) {
        return new OrderIntent(server, "model", 2, holder, recordedMillis, false);
    }

    @Test
    void shouldReturnEqualLeaseWhenEncodedAndDecoded() {
        WeightsLease lease = new WeightsLease(3, "host-a", 17, List.of(intent("s1", "host-a", 16)), 0);
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

    // -- names that others choose

    /** Guards against a row that its own writer cannot read, because a name holds what separates its fields. */
    @Property(tries = 1000)
    void shouldReturnEqualLeaseWhateverTheNamesHold(
            @ForAll String server, @ForAll String model, @ForAll String holder, @ForAll @LongRange(min = 0) long lost) {
        OrderIntent first = new OrderIntent(server, model, 3, holder, 5, true);
        OrderIntent second = new OrderIntent(model, holder, 4, server, 6, false);
        WeightsLease lease = new WeightsLease(9, holder, 17, List.of(first, second), lost);
        String stored = new String(lease.encode().getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
        assertThat(WeightsLease.decode(stored)).contains(lease);
    }

    @Test
    void shouldReadRowsThatWereWrittenBeforeNamesWereEncoded() {
        OrderIntent intent = new OrderIntent("server-1", "50%", 3, "front-a-1", 99, false);
        assertThat(WeightsLease.decode("7 front-a-1 12\nserver-1 50% 3 front-a-1 99 false"))
                .contains(new WeightsLease(7, "front-a-1", 12, List.of(intent), 0));
        assertThat(WeightsLease.decode("0  0")).contains(WeightsLease.empty());
        assertThat(WeightsLease.decode("7 front-a-1 12\ns Walia LLM 3 front-a-1 99 false"))
                .isEmpty();
    }

    @Test
    void shouldNotAllowAnyOrderAfterAnUnreadableRowUntilSpacingHasPassed() {
        WeightsLease lease = WeightsLease.ofUnreadableRow(40, 1000);
        assertThat(lease.isOfUnknownHolder()).isTrue();
        assertThat(lease.isFresh(2999, Duration.ofSeconds(2))).isTrue();
        assertThat(lease.isFresh(3000, Duration.ofSeconds(2))).isFalse();
        WeightsLease taken = lease.renewedBy("host-b", 3000, List.of(), RETENTION);
        assertThat(taken.fencingToken()).isEqualTo(41);
        assertThat(taken.canOrder("s1", "host-b", 5000, SPACING)).isFalse();
        assertThat(WeightsLease.decode(taken.encode())).contains(taken);
        assertThat(taken.canOrder("s1", "host-b", 5001, SPACING)).isTrue();
        assertThat(taken.renewedBy("host-b", 10_000, List.of(), RETENTION).intentsLostMillis())
                .isZero();
    }
}

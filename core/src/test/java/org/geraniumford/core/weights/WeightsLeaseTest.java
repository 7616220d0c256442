package org.geraniumford.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class WeightsLeaseTest {
    private static final LeaseTerm TERM_A = new LeaseTerm(3, "host-a", "p1");

    private static OrderIntent intent(String server, String holder, long rowVersion) {
        return new OrderIntent(new OrderKey(server, 3, rowVersion), "model", 2, holder, 16, OrderProgress.ISSUED);
    }

    @Test
    void shouldReturnEqualLeaseWhenEncodedAndDecoded() {
        WeightsLease lease = new WeightsLease(TERM_A, false, List.of(intent("s1", "host-a", 16)), 0, 4);
        assertThat(WeightsLease.decode(lease.encode())).contains(lease);
        assertThat(WeightsLease.decode(lease.asReleased(5).encode())).contains(lease.asReleased(5));
        assertThat(WeightsLease.decode(WeightsLease.empty()
                        .renewedBy(TERM_A, List.of(), key -> true, true, 0)
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
    void shouldIncreaseFencingTokenWithEachTerm() {
        LeaseTerm first = LeaseTerm.none().next("host-a", "p1", 0);
        assertThat(first.fencingToken()).isEqualTo(1);
        assertThat(first.isOf("host-a", "p1")).isTrue();
        assertThat(first.next("host-b", "p1", 0).fencingToken()).isEqualTo(2);
    }

    @Test
    void shouldNotTakeAnotherProcessOfTheSameHostForTheHolder() {
        LeaseTerm first = LeaseTerm.none().next("host-a", "p1", 0);
        assertThat(first.isOf("host-a", "p2")).isFalse();
        assertThat(first.next("host-a", "p2", 0).fencingToken()).isEqualTo(2);
    }

    /** Guards against tokens that start again after an earlier value of the row was put back. */
    @Test
    void shouldChooseATokenAboveAllThatTheRowCanHaveHeld() {
        assertThat(new LeaseTerm(3, "host-a", "p1").next("host-b", "p1", 40).fencingToken())
                .isEqualTo(40);
        assertThat(new LeaseTerm(40, "host-a", "p1").next("host-b", "p1", 40).fencingToken())
                .isEqualTo(41);
    }

    @Test
    void shouldKeepIntentsThatSuccessorsNeed() {
        OrderIntent first = intent("s1", "host-a", 1);
        WeightsLease lease = WeightsLease.empty().renewedBy(TERM_A, List.of(first), key -> true, false, 0);
        LeaseTerm termB = TERM_A.next("host-b", "p1", 0);
        assertThat(lease.renewedBy(termB, List.of(intent("s2", "host-b", 2)), key -> true, false, 0)
                        .intents())
                .containsExactly(first, intent("s2", "host-b", 2));
        assertThat(lease.renewedBy(termB, List.of(), key -> false, false, 0).intents())
                .isEmpty();
    }

    // -- names that others choose

    /** Guards against a row that its own writer cannot read, because a name holds what separates its fields. */
    @Property(tries = 1000)
    void shouldReturnEqualLeaseWhateverTheNamesHold(
            @ForAll String server, @ForAll String model, @ForAll String holder, @ForAll @LongRange(min = 0) long lost) {
        OrderIntent first = new OrderIntent(new OrderKey(server, 9, lost), model, 3, holder, 5, OrderProgress.DONE);
        OrderIntent second = new OrderIntent(new OrderKey(model, 8, 7), holder, 4, server, 6, OrderProgress.ISSUED);
        WeightsLease lease =
                new WeightsLease(new LeaseTerm(9, holder, server), lost % 2 == 0, List.of(first, second), lost, lost);
        String stored = new String(lease.encode().getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
        assertThat(WeightsLease.decode(stored)).contains(lease);
    }

    @Test
    void shouldReadRowsThatWereWrittenBeforeNamesWereEncoded() {
        OrderIntent intent =
                new OrderIntent(new OrderKey("server-1", 0, 99), "50%", 3, "front-a-1", 99, OrderProgress.ISSUED);
        LeaseTerm term = new LeaseTerm(7, "front-a-1", "");
        assertThat(WeightsLease.decode("7 front-a-1 12\nserver-1 50% 3 front-a-1 99 false"))
                .contains(new WeightsLease(term, false, List.of(intent), 0, WeightsLease.UNKNOWN_VERSION));
        assertThat(WeightsLease.decode("7 front-a-1 0 55"))
                .contains(new WeightsLease(term, true, List.of(), 55, WeightsLease.UNKNOWN_VERSION));
        assertThat(WeightsLease.decode("0  0")).contains(WeightsLease.empty().asReleased(WeightsLease.UNKNOWN_VERSION));
        assertThat(WeightsLease.decode("7 front-a-1 12\ns Walia LLM 3 front-a-1 99 false"))
                .isEmpty();
    }

    @Test
    void shouldTellSuccessorsThatIntentsWereLostWhileTheyNeedIt() {
        WeightsLease lease = WeightsLease.ofUnreadableRow(40);
        assertThat(lease.term().isOfUnknownHolder()).isTrue();
        LeaseTerm term = lease.term().next("host-b", "p1", 40);
        assertThat(term.fencingToken()).isEqualTo(41);
        WeightsLease taken = lease.renewedBy(term, List.of(), key -> true, true, 0);
        assertThat(taken.ordersLostVersion()).isEqualTo(40);
        assertThat(WeightsLease.decode(taken.encode())).contains(taken);
        assertThat(taken.renewedBy(term, List.of(), key -> true, false, 0).ordersLostVersion())
                .isZero();
    }

    /** Guards against a value that somebody has put back, and that names neither the newest orders nor the holder. */
    @Test
    void shouldTellAValueThatWasPutBackByTheVersionThatItReplaced() {
        WeightsLease third = new WeightsLease(TERM_A, false, List.of(), 0, 20);
        assertThat(third.isOlderThan(10)).isFalse();
        assertThat(third.isOlderThan(20)).isFalse();
        assertThat(third.isOlderThan(30)).isTrue();
        assertThat(WeightsLease.decode("7 front-a-1 12").map(lease -> lease.isOlderThan(30)))
                .contains(false);
    }
}

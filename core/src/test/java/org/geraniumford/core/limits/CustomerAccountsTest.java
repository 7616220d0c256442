package org.geraniumford.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.geraniumford.core.service.ApiCustomer;
import org.junit.jupiter.api.Test;

/** Tests the accounts of customers of one and two entries at chosen moments. */
final class CustomerAccountsTest {
    private static final long SECOND = 1_000_000_000;
    private static final long MILLI = 1_000_000;
    private static final double RATE = 10_000;
    private static final double TOLERANCE_UNITS = 0.1 * 9 * RATE + 1000;
    private static final QuotaTolerance TOLERANCE = new QuotaTolerance(Duration.ofSeconds(8), 0.1, 1000);

    private static ApiCustomer customer(double rate) {
        CustomerQuota quota = new CustomerQuota(rate, rate, CustomerQuota.Unit.TOKENS, 200);
        return new ApiCustomer("c", List.of("key"), OptionalInt.empty(), false, Optional.of(quota));
    }

    private static CustomerAccounts started(int entries, long nowNanos) {
        CustomerAccounts accounts = CustomerAccounts.empty(TOLERANCE, new SplittableRandom(1), nowNanos);
        accounts.applyConfiguration(List.of(customer(RATE)), nowNanos);
        accounts.updateEntries(OptionalInt.of(entries), nowNanos);
        return accounts;
    }

    /** Uses requests of 100 tokens until one is refused, and returns what was used. */
    private static double useAll(CustomerAccounts accounts, long nowNanos) {
        double used = 0;
        while (accounts.admit("c", 100, 5, nowNanos).isZero() && used < 1e6) {
            accounts.use("c", 100, nowNanos);
            used += 100;
        }
        return used;
    }

    private static void run(CustomerAccounts accounts, long fromNanos, long toNanos) {
        for (long at = fromNanos; at < toNanos; at += 150 * MILLI) {
            accounts.updateEntries(OptionalInt.of(1), at);
        }
    }

    /** Guards against a second burst after all entries lost power. */
    @Test
    void shouldAllowOnlyAPartOfTheToleranceWhenTheEntryHasJustStartedAndHearsNobody() {
        assertThat(useAll(started(41, 0), 0)).isBetween(1.0, TOLERANCE_UNITS / 41 + 100);
    }

    /** Guards against an entry that can serve next to nothing of a customer for a second after its restart. */
    @Test
    void shouldAdoptTheBalanceOfAPeerWhenTheEntryHasJustStarted() {
        CustomerAccounts accounts = started(2, 0);
        accounts.applyGossip("p", 7, List.of(new CustomerUse("c", 123_456, 4_000_000, true, 10)), MILLI);
        assertThat(useAll(accounts, MILLI)).isBetween(4000.0, 4000 + TOLERANCE_UNITS);
    }

    @Test
    void shouldAddNoMoreThanTheBurstWhenTheEntryWasPaused() {
        CustomerAccounts accounts = started(1, 0);
        run(accounts, 0, 4 * SECOND);
        useAll(accounts, 4 * SECOND);
        assertThat(useAll(accounts, 60 * SECOND)).isBetween(RATE, RATE + TOLERANCE_UNITS);
    }

    @Test
    void shouldRefundWhatWasNotRun() {
        CustomerAccounts accounts = started(1, 0);
        accounts.use("c", 50_000, 0);
        assertThat(accounts.admit("c", 100, 5, 0)).isPositive();
        accounts.refund("c", 50_000, 0);
        assertThat(accounts.admit("c", 100, 5, 0)).isZero();
    }

    /** Guards against callers that return before there is room, or all at the same time. */
    @Test
    void shouldTellLaterTimesWhenMoreRequestsAreRefused() {
        CustomerAccounts accounts = started(1, 0);
        accounts.use("c", 20_000, 0);
        long first = accounts.admit("c", 5000, 5, 0).toMillis();
        long second = accounts.admit("c", 5000, 5, 0).toMillis();
        assertThat(first).isBetween(1700L, 2200L);
        assertThat(second - first).isBetween(250L, 800L);
        assertThat(accounts.admit("c", 5000, 5, first * MILLI)).isZero();
    }

    /** Guards against a long refusal after a partition in which each side used its own share. */
    @Test
    void shouldOffsetTheUseOfTheOtherSideWhenAPartitionHeals() {
        CustomerAccounts accounts = started(2, 0);
        accounts.applyGossip("p", 7, List.of(new CustomerUse("c", 0, 0, true, 10)), 0);
        for (long at = 0; at <= 10 * SECOND; at += 100 * MILLI) {
            useAll(accounts, at);
        }
        long used = (long) (RATE / 2 * 10);
        accounts.applyGossip("p", 7, List.of(new CustomerUse("c", used, 0, true, 10)), 10 * SECOND);
        Duration wait = accounts.admit("c", 100, 5, 10 * SECOND);
        assertThat(wait).isLessThan(Duration.ofMillis(1500));
    }

    @Test
    void shouldServeUrgentRequestsFirstAndTheOthersAtLeastAQuarterAsOftenWhenBothExceedTheLimit() {
        CustomerAccounts accounts = started(1, 0);
        double[] served = new double[2];
        double[] asked = new double[2];
        SplittableRandom random = new SplittableRandom(3);
        for (long at = 0; at < 40 * SECOND; at += 10 * MILLI) {
            accounts.updateEntries(OptionalInt.of(1), at);
            int priority = random.nextInt(2);
            asked[priority] += 300;
            if (accounts.admit("c", 300, priority, at).isZero()) {
                accounts.use("c", 300, at);
                served[priority] += 300;
            }
        }
        double all = (served[0] + served[1]) / (asked[0] + asked[1]);
        assertThat(served[0] / asked[0]).isGreaterThan(1.2 * served[1] / asked[1]);
        assertThat(served[1] / asked[1]).isGreaterThan(0.25 * all);
    }

    @Test
    void shouldBindALoweredLimitAndRaiseOneAtOnce() {
        CustomerAccounts accounts = started(1, 0);
        run(accounts, 0, 4 * SECOND);
        accounts.applyConfiguration(List.of(customer(RATE / 10)), 4 * SECOND);
        assertThat(useAll(accounts, 4 * SECOND)).isLessThan(RATE / 10 + TOLERANCE_UNITS);
        accounts.applyConfiguration(List.of(customer(RATE)), 4 * SECOND);
        assertThat(useAll(accounts, 4 * SECOND)).isGreaterThan(0.8 * RATE);
    }

    /** Guards against totals that begin at zero again, which peers that kept the limit would take for a refund. */
    @Test
    void shouldGoOnCountingWhenALimitReturns() {
        CustomerAccounts accounts = started(1, 0);
        accounts.use("c", 700, 0);
        accounts.applyConfiguration(List.of(), SECOND);
        accounts.applyConfiguration(List.of(customer(RATE)), 2 * SECOND);
        assertThat(accounts.announce(CustomerAccounts.Extent.ALL, 2 * SECOND))
                .singleElement()
                .extracting(CustomerUse::used)
                .isEqualTo(700L);
    }

    @Test
    void shouldAnnounceNothingWhenNoCustomerHasALimit() {
        CustomerAccounts accounts = CustomerAccounts.empty(TOLERANCE, new SplittableRandom(1), 0);
        ApiCustomer unlimited = new ApiCustomer("c", List.of(), OptionalInt.empty(), false, Optional.empty());
        accounts.applyConfiguration(List.of(unlimited), 0);
        accounts.use("c", 1_000_000, 0);
        assertThat(accounts.admit("c", 1_000_000, 5, 0)).isZero();
        assertThat(accounts.announce(CustomerAccounts.Extent.ALL, 0)).isEmpty();
        assertThat(accounts.isInUse(0)).isFalse();
    }

    /** Guards against more than 1 KB/s of gossip while idle: a full account that nobody used lately is not repeated. */
    @Test
    void shouldAnnounceNothingButAtTheFirstMessageWhenNothingWasUsed() {
        CustomerAccounts accounts = started(1, 0);
        run(accounts, 0, 20 * SECOND);
        assertThat(accounts.announce(CustomerAccounts.Extent.CHANGES, 20 * SECOND))
                .isEmpty();
        assertThat(accounts.announce(CustomerAccounts.Extent.RECENT, 20 * SECOND))
                .isEmpty();
        assertThat(accounts.announce(CustomerAccounts.Extent.ALL, 20 * SECOND)).hasSize(1);
    }
}

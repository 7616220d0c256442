package org.geraniumford.core.retry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.EnumSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class RetryPolicyTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final RetryPolicy POLICY = RetryPolicy.ofDefaults();

    /** Reasons caused by the request, the customer, the caller or this entry, so that another host cannot help. */
    private static final Set<Reason> FINAL_REASONS = EnumSet.of(
            Reason.MALFORMED_REQUEST,
            Reason.IDEMPOTENCY_KEY_MISSING,
            Reason.UNAUTHENTICATED,
            Reason.FORBIDDEN,
            Reason.UNKNOWN_MODEL,
            Reason.UNKNOWN_SERVICE,
            Reason.UNKNOWN_PATH,
            Reason.METHOD_NOT_ALLOWED,
            Reason.IDEMPOTENCY_CONFLICT,
            Reason.CALL_IN_PROGRESS,
            Reason.BODY_TOO_LARGE,
            Reason.HEADER_TOO_LARGE,
            Reason.REQUEST_RATE_LIMITED,
            Reason.TOKEN_RATE_LIMITED,
            Reason.STREAMS_LIMITED,
            Reason.CUSTOMER_LIMIT_REACHED,
            Reason.DEADLINE_PASSED,
            Reason.NO_CONFIGURATION,
            Reason.STORE_UNAVAILABLE,
            Reason.RETRY_BUDGET_SPENT,
            Reason.SEGMENT_QUARANTINED,
            Reason.REQUEST_QUARANTINED,
            Reason.SERVER_LIMIT_REACHED,
            Reason.SERVER_PAUSED,
            Reason.CONFIGURATION_OUTDATED,
            Reason.STREAM_ORIGIN_UNKNOWN,
            Reason.STREAM_SOFTWARE_GONE,
            Reason.TOKEN_USED,
            Reason.CALLER_GONE,
            Reason.SLOW_READER,
            Reason.INTERNAL);

    static Stream<Arguments> failures() {
        return Stream.of(Reason.values())
                .flatMap(reason -> Stream.of(Verdict.values())
                        .flatMap(verdict ->
                                Stream.of(true, false).map(idempotent -> Arguments.of(reason, verdict, idempotent))));
    }

    // -- decisions

    @ParameterizedTest
    @MethodSource("failures")
    void shouldRetryOnlyWhenAnotherHostMaySucceedAndARetryIsSafe(Reason reason, Verdict verdict, boolean idempotent) {
        Refusal refusal = Refusal.of(reason, verdict, "");
        boolean expected = !FINAL_REASONS.contains(reason) && (idempotent || verdict == Verdict.NOT_RUN);
        assertThat(POLICY.decide(refusal, idempotent, 1, true))
                .isEqualTo(expected ? RetryDecision.RETRY : RetryDecision.FINAL);
        assertThat(POLICY.decide(refusal, idempotent, 1, false))
                .isEqualTo(expected ? RetryDecision.BUDGET_SPENT : RetryDecision.FINAL);
        assertThat(POLICY.decide(refusal, idempotent, POLICY.maxAttempts(), true))
                .isEqualTo(RetryDecision.FINAL);
    }

    @Test
    void shouldKeepTheBackoffWithinItsBoundsWhenAttemptsAreMany() {
        SplittableRandom random = new SplittableRandom(7);
        for (int attempt = 1; attempt < 100; attempt++) {
            long backoffNanos = POLICY.backoffNanos(attempt, random.nextDouble());
            assertThat(backoffNanos).isBetween(0L, POLICY.maxBackoffNanos());
        }
        assertThat(POLICY.backoffNanos(3, 0)).isZero();
    }

    // -- the retry budget

    @Test
    void shouldLimitRetriesToAFractionOfTheRequestsWhenEveryRequestFails() {
        RetryBudget budget = RetryBudget.start(0);
        int requests = 10_000;
        int retries = 0;
        for (int request = 0; request < requests; request++) {
            long nowNanos = request * NANOS_PER_SECOND / 1000;
            budget = budget.withRequest(nowNanos);
            while (budget.isAvailable(nowNanos)) {
                budget = budget.spend(nowNanos);
                retries++;
            }
        }
        double seconds = requests / 1000.0;
        assertThat(retries).isLessThanOrEqualTo((int)
                (requests * RetryBudget.RETRIES_PER_REQUEST + seconds + RetryBudget.MAX_BALANCE));
    }

    @Test
    void shouldAllowARetryWhenTimeHasRefilledASpentBudget() {
        RetryBudget budget = RetryBudget.start(0);
        while (budget.isAvailable(0)) {
            budget = budget.spend(0);
        }
        RetryBudget spent = budget;
        assertThatThrownBy(() -> spent.spend(0)).isInstanceOf(IllegalStateException.class);
        assertThat(spent.isAvailable(2 * NANOS_PER_SECOND)).isTrue();
        assertThat(spent.isAvailable(-NANOS_PER_SECOND)).isFalse();
    }
}

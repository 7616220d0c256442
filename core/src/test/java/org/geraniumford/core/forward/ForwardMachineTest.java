package org.geraniumford.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.geraniumford.core.service.Route;
import org.geraniumford.core.service.RouteKind;
import org.geraniumford.core.service.WeightedService;
import org.junit.jupiter.api.Test;

/**
 * Guards against a retry that may run a non-idempotent request twice, against a retry beyond the limits of attempts,
 * time and retry budget, and against a stream that is cut off although another server could resume it.
 */
final class ForwardMachineTest {
    private static final AttemptFailure BROKEN = new AttemptFailure.Broken();
    private static final AttemptFailure ERROR = new AttemptFailure.ErrorAnswer();
    private static final AttemptFailure REJECTED = new AttemptFailure.TurnedAway();
    private static final AttemptFailure WITHDRAWN = new AttemptFailure.Withdrawn();
    private static final AttemptFailure UNREACHABLE = new AttemptFailure.Unreachable();

    private static ForwardMachine machine(RouteKind kind, boolean resumable, int maxAttempts) {
        return ForwardMachine.of(new Route(
                "route",
                "a.example",
                "/",
                kind,
                resumable,
                false,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                1,
                maxAttempts,
                List.of(new WeightedService("a", 1))));
    }

    /** Ends an attempt while time and retry budget are left. */
    private static NextStep endAttempt(ForwardMachine machine, AttemptFailure failure) {
        return machine.handleAttemptFailure(failure, true, false, () -> true);
    }

    private static NextStep endBackedUpAttempt(ForwardMachine machine, AttemptFailure failure) {
        return machine.handleAttemptFailure(failure, true, true, () -> true);
    }

    @Test
    void shouldFailWhenANonIdempotentRequestMayHaveRun() {
        assertThat(endAttempt(machine(RouteKind.UNSAFE, false, 3), BROKEN)).isEqualTo(NextStep.FAIL);
        assertThat(endAttempt(machine(RouteKind.STREAMING, false, 3), BROKEN)).isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldRetryAtAnotherServerWhenANonIdempotentRequestWasNotRun() {
        assertThat(endAttempt(machine(RouteKind.UNSAFE, false, 1), REJECTED)).isEqualTo(NextStep.TRY_ELSEWHERE);
        assertThat(endAttempt(machine(RouteKind.UNSAFE, false, 1), UNREACHABLE)).isEqualTo(NextStep.TRY_ELSEWHERE);
    }

    @Test
    void shouldRetryASafeRequestWhenAnAttemptIsLeft() {
        ForwardMachine machine = machine(RouteKind.SAFE, false, 2);
        assertThat(endAttempt(machine, BROKEN)).isEqualTo(NextStep.TRY_ELSEWHERE);
        assertThat(endAttempt(machine, BROKEN)).isEqualTo(NextStep.FAIL);
    }

    /** Guards against a refusal as not run of a request that was withdrawn from an engine and may have begun. */
    @Test
    void shouldTreatAWithdrawnRequestAsOneThatMayHaveRun() {
        assertThat(endAttempt(machine(RouteKind.STREAMING, false, 3), WITHDRAWN))
                .isEqualTo(NextStep.FAIL);
        assertThat(endAttempt(machine(RouteKind.STREAMING, true, 2), WITHDRAWN)).isEqualTo(NextStep.TRY_ELSEWHERE);
        ForwardMachine backedUp = machine(RouteKind.STREAMING, false, 1);
        backedUp.markResponseStarted();
        assertThat(endBackedUpAttempt(backedUp, WITHDRAWN)).isEqualTo(NextStep.CUT_OFF);
    }

    @Test
    void shouldForwardTheServersErrorWhenNoAttemptIsLeft() {
        ForwardMachine machine = machine(RouteKind.SAFE, false, 2);
        endAttempt(machine, ERROR);
        assertThat(endAttempt(machine, ERROR)).isEqualTo(NextStep.PASS_ERROR_ON);
    }

    @Test
    void shouldRefuseOnlyWhenNoAttemptMayHaveRun() {
        assertThat(machine(RouteKind.UNSAFE, false, 1).handleAttemptFailure(REJECTED, true, false, () -> false))
                .isEqualTo(NextStep.REFUSE);
        ForwardMachine machine = machine(RouteKind.SAFE, false, 3);
        endAttempt(machine, BROKEN);
        assertThat(machine.handleAttemptFailure(REJECTED, true, false, () -> false))
                .isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldRetryWithoutTheRetryBudgetWhenNothingWasSent() {
        assertThat(machine(RouteKind.SAFE, false, 2).handleAttemptFailure(UNREACHABLE, true, false, () -> false))
                .isEqualTo(NextStep.TRY_ELSEWHERE);
    }

    @Test
    void shouldResumeAStreamAtAnotherServerOnlyWhenItsRouteAllowsIt() {
        ForwardMachine resumable = machine(RouteKind.STREAMING, true, 2);
        resumable.markResponseStarted();
        assertThat(endAttempt(resumable, BROKEN)).isEqualTo(NextStep.RESUME_ELSEWHERE);
        ForwardMachine nonResumable = machine(RouteKind.STREAMING, false, 2);
        nonResumable.markResponseStarted();
        assertThat(endAttempt(nonResumable, BROKEN)).isEqualTo(NextStep.CUT_OFF);
    }

    @Test
    void shouldCutAStreamOffWhenTheResumedOneIsRejectedAndNoBudgetIsLeft() {
        ForwardMachine machine = machine(RouteKind.STREAMING, true, 3);
        machine.markResponseStarted();
        endAttempt(machine, BROKEN);
        assertThat(machine.handleAttemptFailure(REJECTED, true, false, () -> false))
                .isEqualTo(NextStep.CUT_OFF);
    }

    @Test
    void shouldResumeOnceAtTheBackupWhenAStreamOfANonResumableRouteBreaks() {
        ForwardMachine machine = machine(RouteKind.STREAMING, false, 1);
        machine.markResponseStarted();
        assertThat(endBackedUpAttempt(machine, BROKEN)).isEqualTo(NextStep.CONTINUE_AT_COPY);
        assertThat(endAttempt(machine, BROKEN)).isEqualTo(NextStep.CUT_OFF);
    }

    @Test
    void shouldNotUseTheBackupWhenNoEventWasDelivered() {
        ForwardMachine machine = machine(RouteKind.STREAMING, false, 1);
        assertThat(endBackedUpAttempt(machine, BROKEN)).isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldNotRetryWhenNoTimeIsLeft() {
        assertThat(machine(RouteKind.SAFE, false, 3).handleAttemptFailure(BROKEN, false, false, () -> true))
                .isEqualTo(NextStep.FAIL);
    }
}

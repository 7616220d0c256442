package org.geraniumford.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.geraniumford.core.service.Route;
import org.geraniumford.core.service.RouteKind;
import org.geraniumford.core.service.WeightedService;
import org.junit.jupiter.api.Test;

final class ForwardMachineTest {
    private static final AttemptFailure BROKEN = new AttemptFailure.Broken();
    private static final AttemptFailure ERROR = new AttemptFailure.ErrorAnswer();
    private static final AttemptFailure REJECTED = new AttemptFailure.TurnedAway();
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

    private static NextStep fail(ForwardMachine machine, AttemptFailure failure) {
        return machine.handleAttemptFailure(failure, true, () -> true);
    }

    @Test
    void shouldFailWhenANonIdempotentRequestMayHaveRun() {
        assertThat(fail(machine(RouteKind.UNSAFE, false, 3), BROKEN)).isEqualTo(NextStep.FAIL);
        assertThat(fail(machine(RouteKind.STREAMING, false, 3), BROKEN)).isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldRetryAtAnotherServerWhenANonIdempotentRequestWasNotRun() {
        assertThat(fail(machine(RouteKind.UNSAFE, false, 1), REJECTED)).isEqualTo(NextStep.TRY_ELSEWHERE);
        assertThat(fail(machine(RouteKind.UNSAFE, false, 1), UNREACHABLE)).isEqualTo(NextStep.TRY_ELSEWHERE);
    }

    @Test
    void shouldRetryASafeRequestWhenItFailsWithinItsMaximumNumberOfAttempts() {
        ForwardMachine machine = machine(RouteKind.SAFE, false, 2);
        assertThat(fail(machine, BROKEN)).isEqualTo(NextStep.TRY_ELSEWHERE);
        assertThat(fail(machine, BROKEN)).isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldForwardTheServersErrorWhenNoAttemptIsLeft() {
        ForwardMachine machine = machine(RouteKind.SAFE, false, 2);
        fail(machine, ERROR);
        assertThat(fail(machine, ERROR)).isEqualTo(NextStep.PASS_ERROR_ON);
    }

    @Test
    void shouldRefuseOnlyWhenNoAttemptMayHaveRun() {
        assertThat(machine(RouteKind.UNSAFE, false, 1).handleAttemptFailure(REJECTED, true, () -> false))
                .isEqualTo(NextStep.REFUSE);
        ForwardMachine machine = machine(RouteKind.SAFE, false, 3);
        fail(machine, BROKEN);
        assertThat(machine.handleAttemptFailure(REJECTED, true, () -> false)).isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldRetryWithoutTheRetryBudgetWhenNothingWasSent() {
        assertThat(machine(RouteKind.SAFE, false, 2).handleAttemptFailure(UNREACHABLE, true, () -> false))
                .isEqualTo(NextStep.TRY_ELSEWHERE);
    }

    @Test
    void shouldResumeAStreamAtAnotherServerOnlyWhenItsRouteAllowsIt() {
        ForwardMachine resumable = machine(RouteKind.STREAMING, true, 2);
        resumable.markResponseStarted();
        assertThat(fail(resumable, BROKEN)).isEqualTo(NextStep.RESUME_ELSEWHERE);
        ForwardMachine nonResumable = machine(RouteKind.STREAMING, false, 2);
        nonResumable.markResponseStarted();
        assertThat(fail(nonResumable, BROKEN)).isEqualTo(NextStep.CUT_OFF);
    }

    @Test
    void shouldCutAStreamOffWhenTheResumedOneIsRejectedAndNoBudgetIsLeft() {
        ForwardMachine machine = machine(RouteKind.STREAMING, true, 3);
        machine.markResponseStarted();
        fail(machine, BROKEN);
        assertThat(machine.handleAttemptFailure(REJECTED, true, () -> false)).isEqualTo(NextStep.CUT_OFF);
    }

    @Test
    void shouldResumeOnceAtTheBackupWhenAStreamOfANonResumableRouteBreaks() {
        ForwardMachine machine = machine(RouteKind.STREAMING, false, 1);
        machine.markBackupAvailable();
        machine.markResponseStarted();
        assertThat(fail(machine, BROKEN)).isEqualTo(NextStep.CONTINUE_AT_COPY);
        assertThat(fail(machine, BROKEN)).isEqualTo(NextStep.CUT_OFF);
    }

    @Test
    void shouldNotUseTheBackupWhenNoEventWasDelivered() {
        ForwardMachine machine = machine(RouteKind.STREAMING, false, 1);
        machine.markBackupAvailable();
        assertThat(fail(machine, BROKEN)).isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldNotRetryWhenNoTimeIsLeft() {
        assertThat(machine(RouteKind.SAFE, false, 3).handleAttemptFailure(BROKEN, false, () -> true))
                .isEqualTo(NextStep.FAIL);
    }
}

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
    private static final AttemptFailure TURNED_AWAY = new AttemptFailure.TurnedAway();
    private static final AttemptFailure UNREACHABLE = new AttemptFailure.Unreachable();

    private static ForwardMachine machine(RouteKind kind, boolean resumable, int attempts) {
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
                attempts,
                List.of(new WeightedService("a", 1))));
    }

    private static NextStep end(ForwardMachine machine, AttemptFailure end) {
        return machine.handleAttemptFailure(end, true, () -> true);
    }

    @Test
    void shouldFailWhenANonIdempotentRequestMayHaveRun() {
        assertThat(end(machine(RouteKind.UNSAFE, false, 3), BROKEN)).isEqualTo(NextStep.FAIL);
        assertThat(end(machine(RouteKind.STREAMING, false, 3), BROKEN)).isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldTryElsewhereWhenANonIdempotentRequestWasNotRun() {
        assertThat(end(machine(RouteKind.UNSAFE, false, 1), TURNED_AWAY)).isEqualTo(NextStep.TRY_ELSEWHERE);
        assertThat(end(machine(RouteKind.UNSAFE, false, 1), UNREACHABLE)).isEqualTo(NextStep.TRY_ELSEWHERE);
    }

    @Test
    void shouldTryElsewhereWhenASafeRequestFailsWithinItsAttempts() {
        ForwardMachine machine = machine(RouteKind.SAFE, false, 2);
        assertThat(end(machine, BROKEN)).isEqualTo(NextStep.TRY_ELSEWHERE);
        assertThat(end(machine, BROKEN)).isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldPassTheServersErrorOnWhenNoAttemptIsLeft() {
        ForwardMachine machine = machine(RouteKind.SAFE, false, 2);
        end(machine, ERROR);
        assertThat(end(machine, ERROR)).isEqualTo(NextStep.PASS_ERROR_ON);
    }

    @Test
    void shouldRefuseOnlyWhenNoTryMayHaveRun() {
        assertThat(machine(RouteKind.UNSAFE, false, 1).handleAttemptFailure(TURNED_AWAY, true, () -> false))
                .isEqualTo(NextStep.REFUSE);
        ForwardMachine machine = machine(RouteKind.SAFE, false, 3);
        end(machine, BROKEN);
        assertThat(machine.handleAttemptFailure(TURNED_AWAY, true, () -> false)).isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldNotAskTheBudgetWhenNothingWasSent() {
        assertThat(machine(RouteKind.SAFE, false, 2).handleAttemptFailure(UNREACHABLE, true, () -> false))
                .isEqualTo(NextStep.TRY_ELSEWHERE);
    }

    @Test
    void shouldResumeAStreamElsewhereOnlyWhenItsRouteAllowsIt() {
        ForwardMachine resumable = machine(RouteKind.STREAMING, true, 2);
        resumable.markResponseStarted();
        assertThat(end(resumable, BROKEN)).isEqualTo(NextStep.RESUME_ELSEWHERE);
        ForwardMachine plain = machine(RouteKind.STREAMING, false, 2);
        plain.markResponseStarted();
        assertThat(end(plain, BROKEN)).isEqualTo(NextStep.CUT_OFF);
    }

    @Test
    void shouldCutAStreamOffWhenTheResumedOneIsRefusedAndNoBudgetIsLeft() {
        ForwardMachine machine = machine(RouteKind.STREAMING, true, 3);
        machine.markResponseStarted();
        end(machine, BROKEN);
        assertThat(machine.handleAttemptFailure(TURNED_AWAY, true, () -> false)).isEqualTo(NextStep.CUT_OFF);
    }

    @Test
    void shouldContinueOnceAtTheCopyWhenAStreamThatCannotBeResumedBreaks() {
        ForwardMachine machine = machine(RouteKind.STREAMING, false, 1);
        machine.markBackupAvailable();
        machine.markResponseStarted();
        assertThat(end(machine, BROKEN)).isEqualTo(NextStep.CONTINUE_AT_COPY);
        assertThat(end(machine, BROKEN)).isEqualTo(NextStep.CUT_OFF);
    }

    @Test
    void shouldNotUseTheCopyBeforeAnEventWasDelivered() {
        ForwardMachine machine = machine(RouteKind.STREAMING, false, 1);
        machine.markBackupAvailable();
        assertThat(end(machine, BROKEN)).isEqualTo(NextStep.FAIL);
    }

    @Test
    void shouldNotTryAgainWhenNoTimeIsLeft() {
        assertThat(machine(RouteKind.SAFE, false, 3).handleAttemptFailure(BROKEN, false, () -> true))
                .isEqualTo(NextStep.FAIL);
    }
}

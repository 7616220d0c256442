package org.geraniumford.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumford.core.idempotency.ClaimSimulation.Fault;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a call that runs twice, or whose caller gets a false outcome, when exchanges with the store or a
 * sidecar fail, an entry crashes or pauses, or two entries handle the same idempotency key.
 */
final class ClaimMachineTest {
    /** The number of steps, from the first, at which a first fault, a crash or a pause is injected. */
    private static final int STEPS = 9;

    /** More steps than a call takes to end. */
    private static final int MAX_STEPS = 100;

    // -- without faults

    @Test
    void shouldReturnTheFirstResponseWhenTheCallerRetries() {
        ClaimSimulation simulation = new ClaimSimulation();
        ClaimSimulation.Entry first = finish(simulation.startCall("a", "digest"), Map.of());
        ClaimSimulation.Entry retry = finish(simulation.startCall("b", "digest"), Map.of());
        assertThat(retry.responses()).isEqualTo(first.responses());
        assertThat(simulation.executions()).isEqualTo(1);
    }

    @Test
    void shouldRefuseTheCallWhenTheKeyWasUsedForAnotherCall() {
        ClaimSimulation simulation = new ClaimSimulation();
        finish(simulation.startCall("a", "digest"), Map.of());
        ClaimSimulation.Entry other = finish(simulation.startCall("b", "another"), Map.of());
        assertThat(refusalReason(other)).isEqualTo(Reason.IDEMPOTENCY_CONFLICT);
        assertThat(simulation.executions()).isEqualTo(1);
    }

    @Test
    void shouldRefuseAtOnceWhenTheStoreIsDown() {
        ClaimSimulation simulation = new ClaimSimulation();
        ClaimSimulation.Entry entry = simulation.startCall("a", "digest");
        entry.step(Fault.REFUSED);
        assertThat(entry.isRunning()).isFalse();
        assertThat(refusalReason(entry)).isEqualTo(Reason.STORE_UNAVAILABLE);
        assertThat(verdict(entry)).contains(Verdict.NOT_RUN);
    }

    @Test
    void shouldRespondToTheCallerWhenTheResponseCannotBeRecorded() {
        ClaimSimulation simulation = new ClaimSimulation();
        ClaimSimulation.Entry entry = simulation.startCall("a", "digest");
        entry.step(Fault.NONE);
        entry.step(Fault.NONE);
        assertThat(entry.responses())
                .hasOnlyElementsOfType(ClaimAction.Respond.class)
                .hasSize(1);
        IntStream.range(0, MAX_STEPS).filter(i -> entry.isRunning()).forEach(i -> entry.step(Fault.REFUSED));
        ClaimSimulation.Entry retry = finish(simulation.startCall("b", "digest"), Map.of());
        assertThat(refusalReason(retry)).isEqualTo(Reason.CALL_IN_PROGRESS);
        assertThat(verdict(retry)).contains(Verdict.MAY_HAVE_RUN);
        assertThat(simulation.executions()).isEqualTo(1);
    }

    @Test
    void shouldNotReplaceAClaimWhenItsSidecarRestarted() {
        ClaimSimulation simulation = new ClaimSimulation();
        simulation.startCall("a", "digest").step(Fault.NONE);
        ClaimSimulation.HOSTS.forEach(simulation::restartSidecar);
        ClaimSimulation.Entry retry = finish(simulation.startCall("b", "digest"), Map.of());
        assertThat(refusalReason(retry)).isEqualTo(Reason.CALL_IN_PROGRESS);
        assertThat(simulation.executions()).isZero();
    }

    @Test
    void shouldRefuseOnlyThePausedCallWhenAnotherEntryTookItOver() {
        ClaimSimulation simulation = new ClaimSimulation();
        ClaimSimulation.Entry paused = simulation.startCall("a", "digest");
        run(paused, Map.of(), 1);
        ClaimSimulation.Entry other = simulation.startCall("b", "digest");
        run(other, Map.of(), 3);
        assertThat(refusalReason(finish(paused, Map.of()))).isEqualTo(Reason.CALL_IN_PROGRESS);
        assertThat(finish(other, Map.of()).responses()).hasOnlyElementsOfType(ClaimAction.Respond.class);
    }

    // -- fault table: one or two faults at any steps

    static Stream<Arguments> faults() {
        return IntStream.range(0, STEPS)
                .boxed()
                .flatMap(step -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(step, fault)));
    }

    private static Stream<Map<Integer, Fault>> withSecondFault(int step, Fault fault) {
        return IntStream.range(step + 1, STEPS + 1)
                .boxed()
                .flatMap(second -> Arrays.stream(Fault.values()).map(other -> Map.of(step, fault, second, other)));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldRunAtMostOnceAndReturnTheTrueOutcomeWhenTwoExchangesFail(int step, Fault fault) {
        assertThat(withSecondFault(step, fault)).allSatisfy(faults -> {
            ClaimSimulation simulation = new ClaimSimulation();
            ClaimSimulation.Entry entry = finish(simulation.startCall("a", "digest"), faults);
            simulation.deliverDelayed();
            check(simulation, List.of(entry));
            checkRetry(simulation, entry, faults);
        });
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldRunAtMostOnceWhenAnEntryCrashesAtAnyStep(int step, Fault fault) {
        assertThat(withSecondFault(step, fault))
                .allSatisfy(faults -> IntStream.range(0, STEPS).forEach(crashStep -> {
                    ClaimSimulation simulation = new ClaimSimulation();
                    ClaimSimulation.Entry entry = simulation.startCall("a", "digest");
                    run(entry, faults, crashStep);
                    simulation.deliverDelayed();
                    checkRetry(simulation, entry, faults);
                }));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldRunAtMostOnceWhenAnEntryPausesAtAnyStepAndAnotherTakesOverTheCall(int step, Fault fault) {
        assertThat(withSecondFault(step, fault))
                .allSatisfy(faults -> IntStream.range(0, STEPS).forEach(pauseStep -> {
                    ClaimSimulation simulation = new ClaimSimulation();
                    ClaimSimulation.Entry paused = simulation.startCall("a", "digest");
                    run(paused, Map.of(), pauseStep);
                    ClaimSimulation.Entry other = finish(simulation.startCall("b", "digest"), faults);
                    finish(paused, Map.of());
                    simulation.deliverDelayed();
                    check(simulation, List.of(paused, other));
                }));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldRunAtMostOnceWhenTwoEntriesRunConcurrentlyInAnyOrder(int step, Fault fault) {
        assertThat(withSecondFault(step, fault))
                .allSatisfy(faults -> IntStream.range(0, 20).forEach(seed -> {
                    ClaimSimulation simulation = new ClaimSimulation();
                    List<ClaimSimulation.Entry> entries =
                            List.of(simulation.startCall("a", "digest"), simulation.startCall("b", "digest"));
                    interleave(simulation, entries, faults, new Random(seed));
                    check(simulation, entries);
                }));
    }

    // -- execution

    private static ClaimSimulation.Entry finish(ClaimSimulation.Entry entry, Map<Integer, Fault> faults) {
        run(entry, faults, MAX_STEPS);
        assertThat(entry.isRunning()).isFalse();
        assertThat(entry.responses()).hasSize(1);
        return entry;
    }

    private static void run(ClaimSimulation.Entry entry, Map<Integer, Fault> faults, int steps) {
        IntStream.range(0, steps)
                .takeWhile(step -> entry.isRunning())
                .forEach(step -> entry.step(faults.getOrDefault(step, Fault.NONE)));
    }

    private static void interleave(
            ClaimSimulation simulation,
            List<ClaimSimulation.Entry> entries,
            Map<Integer, Fault> faults,
            Random random) {
        for (int step = 0; entries.stream().anyMatch(ClaimSimulation.Entry::isRunning); step++) {
            ClaimSimulation.Entry chosen = entries.get(random.nextInt(entries.size()));
            if (random.nextInt(4) == 0) {
                simulation.deliverDelayed();
            }
            if (chosen.isRunning()) {
                chosen.step(faults.getOrDefault(step, Fault.NONE));
            }
        }
        simulation.deliverDelayed();
    }

    // -- guarantees

    /**
     * Checks that the call ran at most once, and that each entry sent one response, which agrees with the executions.
     */
    private static void check(ClaimSimulation simulation, List<ClaimSimulation.Entry> entries) {
        assertThat(simulation.executions()).isLessThanOrEqualTo(1);
        entries.forEach(entry -> {
            assertThat(entry.responses()).hasSize(1);
            if (entry.responses().get(0) instanceof ClaimAction.Respond) {
                assertThat(simulation.executions()).isEqualTo(1);
            }
            if (verdict(entry).filter(Verdict.NOT_RUN::equals).isPresent()) {
                assertThat(simulation.executionsOf(entry)).isZero();
            }
        });
        assertThat(entries.stream()
                        .flatMap(entry -> entry.responses().stream())
                        .filter(ClaimAction.Respond.class::isInstance)
                        .distinct()
                        .count())
                .isLessThanOrEqualTo(1);
    }

    /**
     * Retries the call without faults: it must never run twice, and must run if it has not run before. If the sidecars
     * restarted, it may remain without a run, because they can no longer close the earlier token.
     */
    private static void checkRetry(
            ClaimSimulation simulation, ClaimSimulation.Entry first, Map<Integer, Fault> faults) {
        int before = simulation.executions();
        ClaimSimulation.Entry retry = finish(simulation.startCall("again", "digest"), Map.of());
        assertThat(simulation.executions()).isLessThanOrEqualTo(1);
        boolean restarted = faults.containsValue(Fault.SIDECARS_RESTART);
        if (before == 0 && !restarted) {
            assertThat(simulation.executions()).isEqualTo(1);
        }
        if (before == 1) {
            assertThat(verdict(retry)).isNotEqualTo(Optional.of(Verdict.NOT_RUN));
        }
        if (verdict(first).filter(Verdict.NOT_RUN::equals).isPresent() && !restarted) {
            assertThat(retry.responses()).hasOnlyElementsOfType(ClaimAction.Respond.class);
        }
    }

    private static Reason refusalReason(ClaimSimulation.Entry entry) {
        assertThat(entry.responses())
                .hasOnlyElementsOfType(ClaimAction.Refuse.class)
                .hasSize(1);
        return ((ClaimAction.Refuse) entry.responses().get(0)).refusal().reason();
    }

    private static Optional<Verdict> verdict(ClaimSimulation.Entry entry) {
        return entry.responses().stream()
                .filter(ClaimAction.Refuse.class::isInstance)
                .map(refusal -> ((ClaimAction.Refuse) refusal).refusal().verdict())
                .findFirst();
    }
}

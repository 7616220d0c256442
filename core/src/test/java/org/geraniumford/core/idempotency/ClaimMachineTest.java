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

final class ClaimMachineTest {
    private static final int STEPS = 9;
    private static final int MAX_STEPS = 100;

    // -- without faults

    @Test
    void shouldGiveTheFirstAnswerWhenTheCallerAsksAgain() {
        ClaimSimulation world = new ClaimSimulation();
        ClaimSimulation.Entry first = finish(world.startCall("a", "digest"), Map.of());
        ClaimSimulation.Entry again = finish(world.startCall("b", "digest"), Map.of());
        assertThat(again.responses()).isEqualTo(first.responses());
        assertThat(world.executions()).isEqualTo(1);
    }

    @Test
    void shouldRefuseAConflictWhenTheKeyWasUsedForAnotherCall() {
        ClaimSimulation world = new ClaimSimulation();
        finish(world.startCall("a", "digest"), Map.of());
        ClaimSimulation.Entry other = finish(world.startCall("b", "another"), Map.of());
        assertThat(refused(other)).isEqualTo(Reason.IDEMPOTENCY_CONFLICT);
        assertThat(world.executions()).isEqualTo(1);
    }

    @Test
    void shouldRefuseAtOnceWhenTheStoreIsDown() {
        ClaimSimulation world = new ClaimSimulation();
        ClaimSimulation.Entry entry = world.startCall("a", "digest");
        entry.step(Fault.REFUSED);
        assertThat(entry.isRunning()).isFalse();
        assertThat(refused(entry)).isEqualTo(Reason.STORE_UNAVAILABLE);
        assertThat(verdict(entry)).contains(Verdict.NOT_RUN);
    }

    @Test
    void shouldAnswerTheCallerWhenTheAnswerCannotBeRecorded() {
        ClaimSimulation world = new ClaimSimulation();
        ClaimSimulation.Entry entry = world.startCall("a", "digest");
        entry.step(Fault.NONE);
        entry.step(Fault.NONE);
        assertThat(entry.responses())
                .hasOnlyElementsOfType(ClaimAction.Respond.class)
                .hasSize(1);
        IntStream.range(0, MAX_STEPS).filter(i -> entry.isRunning()).forEach(i -> entry.step(Fault.REFUSED));
        ClaimSimulation.Entry again = finish(world.startCall("b", "digest"), Map.of());
        assertThat(refused(again)).isEqualTo(Reason.CALL_IN_PROGRESS);
        assertThat(verdict(again)).contains(Verdict.MAY_HAVE_RUN);
        assertThat(world.executions()).isEqualTo(1);
    }

    @Test
    void shouldNotTakeAClaimOverWhenItsSidecarRestarted() {
        ClaimSimulation world = new ClaimSimulation();
        world.startCall("a", "digest").step(Fault.NONE);
        ClaimSimulation.HOSTS.forEach(world::restartSidecar);
        ClaimSimulation.Entry again = finish(world.startCall("b", "digest"), Map.of());
        assertThat(refused(again)).isEqualTo(Reason.CALL_IN_PROGRESS);
        assertThat(world.executions()).isZero();
    }

    @Test
    void shouldLeaveTheOtherAttemptAloneWhenItsOwnTokenWasClosed() {
        ClaimSimulation world = new ClaimSimulation();
        ClaimSimulation.Entry paused = world.startCall("a", "digest");
        run(paused, Map.of(), 1);
        ClaimSimulation.Entry other = world.startCall("b", "digest");
        run(other, Map.of(), 3);
        assertThat(refused(finish(paused, Map.of()))).isEqualTo(Reason.CALL_IN_PROGRESS);
        assertThat(finish(other, Map.of()).responses()).hasOnlyElementsOfType(ClaimAction.Respond.class);
    }

    // -- fault table: every step, alone, twice and in pairs

    static Stream<Arguments> faults() {
        return IntStream.range(0, STEPS)
                .boxed()
                .flatMap(step -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(step, fault)));
    }

    private static Stream<Map<Integer, Fault>> withAnother(int step, Fault fault) {
        return IntStream.range(step + 1, STEPS + 1)
                .boxed()
                .flatMap(second -> Arrays.stream(Fault.values()).map(other -> Map.of(step, fault, second, other)));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldRunAtMostOnceAndTellTheTruthWhenTwoExchangesFail(int step, Fault fault) {
        assertThat(withAnother(step, fault)).allSatisfy(faults -> {
            ClaimSimulation world = new ClaimSimulation();
            ClaimSimulation.Entry entry = finish(world.startCall("a", "digest"), faults);
            world.deliverDelayed();
            check(world, List.of(entry));
            checkRepeat(world, entry, faults);
        });
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldRunAtMostOnceWhenAnEntryCrashesAtAnyStep(int step, Fault fault) {
        assertThat(withAnother(step, fault))
                .allSatisfy(faults -> IntStream.range(0, STEPS).forEach(crash -> {
                    ClaimSimulation world = new ClaimSimulation();
                    ClaimSimulation.Entry entry = world.startCall("a", "digest");
                    run(entry, faults, crash);
                    world.deliverDelayed();
                    checkRepeat(world, entry, faults);
                }));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldRunAtMostOnceWhenAnEntryFreezesAtAnyStepAndAnotherTakesTheCall(int step, Fault fault) {
        assertThat(withAnother(step, fault))
                .allSatisfy(faults -> IntStream.range(0, STEPS).forEach(freeze -> {
                    ClaimSimulation world = new ClaimSimulation();
                    ClaimSimulation.Entry frozen = world.startCall("a", "digest");
                    run(frozen, Map.of(), freeze);
                    ClaimSimulation.Entry other = finish(world.startCall("b", "digest"), faults);
                    finish(frozen, Map.of());
                    world.deliverDelayed();
                    check(world, List.of(frozen, other));
                }));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void shouldRunAtMostOnceWhenTwoEntriesRaceInAnyOrder(int step, Fault fault) {
        assertThat(withAnother(step, fault))
                .allSatisfy(faults -> IntStream.range(0, 20).forEach(seed -> {
                    ClaimSimulation world = new ClaimSimulation();
                    List<ClaimSimulation.Entry> entries =
                            List.of(world.startCall("a", "digest"), world.startCall("b", "digest"));
                    interleave(world, entries, faults, new Random(seed));
                    check(world, entries);
                }));
    }

    // -- driving

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
            ClaimSimulation world, List<ClaimSimulation.Entry> entries, Map<Integer, Fault> faults, Random random) {
        for (int step = 0; entries.stream().anyMatch(ClaimSimulation.Entry::isRunning); step++) {
            ClaimSimulation.Entry chosen = entries.get(random.nextInt(entries.size()));
            if (random.nextInt(4) == 0) {
                world.deliverDelayed();
            }
            if (chosen.isRunning()) {
                chosen.step(faults.getOrDefault(step, Fault.NONE));
            }
        }
        world.deliverDelayed();
    }

    // -- the promises

    private static void check(ClaimSimulation world, List<ClaimSimulation.Entry> entries) {
        assertThat(world.executions()).isLessThanOrEqualTo(1);
        entries.forEach(entry -> {
            assertThat(entry.responses()).hasSize(1);
            if (entry.responses().get(0) instanceof ClaimAction.Respond) {
                assertThat(world.executions()).isEqualTo(1);
            }
            if (verdict(entry).filter(Verdict.NOT_RUN::equals).isPresent()) {
                assertThat(world.executionsOf(entry)).isZero();
            }
        });
        assertThat(entries.stream()
                        .flatMap(entry -> entry.responses().stream())
                        .filter(ClaimAction.Respond.class::isInstance)
                        .distinct()
                        .count())
                .isLessThanOrEqualTo(1);
    }

    /** A caller who asks again once all is well: never a second run, and a first one if it is known not to have run. */
    private static void checkRepeat(ClaimSimulation world, ClaimSimulation.Entry first, Map<Integer, Fault> faults) {
        int before = world.executions();
        ClaimSimulation.Entry again = finish(world.startCall("again", "digest"), Map.of());
        assertThat(world.executions()).isLessThanOrEqualTo(1);
        boolean restarted = faults.containsValue(Fault.SIDECARS_RESTART);
        if (before == 0 && !restarted) {
            assertThat(world.executions()).isEqualTo(1);
        }
        if (before == 1) {
            assertThat(verdict(again)).isNotEqualTo(Optional.of(Verdict.NOT_RUN));
        }
        if (verdict(first).filter(Verdict.NOT_RUN::equals).isPresent() && !restarted) {
            assertThat(again.responses()).hasOnlyElementsOfType(ClaimAction.Respond.class);
        }
    }

    private static Reason refused(ClaimSimulation.Entry entry) {
        assertThat(entry.responses())
                .hasOnlyElementsOfType(ClaimAction.Refuse.class)
                .hasSize(1);
        return ((ClaimAction.Refuse) entry.responses().get(0)).refusal().reason();
    }

    private static Optional<Verdict> verdict(ClaimSimulation.Entry entry) {
        return entry.responses().stream()
                .filter(ClaimAction.Refuse.class::isInstance)
                .map(told -> ((ClaimAction.Refuse) told).refusal().verdict())
                .findFirst();
    }
}

package org.geraniumford.core.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumford.core.ledger.ClaimWorld.Fault;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class ClaimMachineTest {
    private static final int STEPS = 9;
    private static final int ENOUGH_STEPS = 100;

    // -- without faults

    @Test
    void shouldGiveTheFirstAnswerWhenTheCallerAsksAgain() {
        ClaimWorld world = new ClaimWorld();
        ClaimWorld.Entry first = finish(world.entry("a", "digest"), Map.of());
        ClaimWorld.Entry again = finish(world.entry("b", "digest"), Map.of());
        assertThat(again.told()).isEqualTo(first.told());
        assertThat(world.executions()).isEqualTo(1);
    }

    @Test
    void shouldRefuseAConflictWhenTheKeyWasUsedForAnotherCall() {
        ClaimWorld world = new ClaimWorld();
        finish(world.entry("a", "digest"), Map.of());
        ClaimWorld.Entry other = finish(world.entry("b", "another"), Map.of());
        assertThat(refused(other)).isEqualTo(Reason.IDEMPOTENCY_CONFLICT);
        assertThat(world.executions()).isEqualTo(1);
    }

    @Test
    void shouldRefuseAtOnceWhenTheStoreIsDown() {
        ClaimWorld world = new ClaimWorld();
        ClaimWorld.Entry entry = world.entry("a", "digest");
        entry.step(Fault.REFUSED);
        assertThat(entry.running()).isFalse();
        assertThat(refused(entry)).isEqualTo(Reason.STORE_UNAVAILABLE);
        assertThat(verdict(entry)).contains(Verdict.NOT_RUN);
    }

    @Test
    void shouldAnswerTheCallerWhenTheAnswerCannotBeRecorded() {
        ClaimWorld world = new ClaimWorld();
        ClaimWorld.Entry entry = world.entry("a", "digest");
        entry.step(Fault.NONE);
        entry.step(Fault.NONE);
        assertThat(entry.told()).hasOnlyElementsOfType(ClaimAction.Answer.class).hasSize(1);
        IntStream.range(0, ENOUGH_STEPS).filter(i -> entry.running()).forEach(i -> entry.step(Fault.REFUSED));
        ClaimWorld.Entry again = finish(world.entry("b", "digest"), Map.of());
        assertThat(refused(again)).isEqualTo(Reason.CALL_IN_PROGRESS);
        assertThat(verdict(again)).contains(Verdict.MAY_HAVE_RUN);
        assertThat(world.executions()).isEqualTo(1);
    }

    @Test
    void shouldNotTakeAClaimOverWhenItsSidecarRestarted() {
        ClaimWorld world = new ClaimWorld();
        world.entry("a", "digest").step(Fault.NONE);
        ClaimWorld.HOSTS.forEach(world::restart);
        ClaimWorld.Entry again = finish(world.entry("b", "digest"), Map.of());
        assertThat(refused(again)).isEqualTo(Reason.CALL_IN_PROGRESS);
        assertThat(world.executions()).isZero();
    }

    @Test
    void shouldLeaveTheOtherAttemptAloneWhenItsOwnTokenWasClosed() {
        ClaimWorld world = new ClaimWorld();
        ClaimWorld.Entry paused = world.entry("a", "digest");
        run(paused, Map.of(), 1);
        ClaimWorld.Entry other = world.entry("b", "digest");
        run(other, Map.of(), 3);
        assertThat(refused(finish(paused, Map.of()))).isEqualTo(Reason.CALL_IN_PROGRESS);
        assertThat(finish(other, Map.of()).told()).hasOnlyElementsOfType(ClaimAction.Answer.class);
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
            ClaimWorld world = new ClaimWorld();
            ClaimWorld.Entry entry = finish(world.entry("a", "digest"), faults);
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
                    ClaimWorld world = new ClaimWorld();
                    ClaimWorld.Entry entry = world.entry("a", "digest");
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
                    ClaimWorld world = new ClaimWorld();
                    ClaimWorld.Entry frozen = world.entry("a", "digest");
                    run(frozen, Map.of(), freeze);
                    ClaimWorld.Entry other = finish(world.entry("b", "digest"), faults);
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
                    ClaimWorld world = new ClaimWorld();
                    List<ClaimWorld.Entry> entries = List.of(world.entry("a", "digest"), world.entry("b", "digest"));
                    interleave(world, entries, faults, new Random(seed));
                    check(world, entries);
                }));
    }

    // -- driving

    private static ClaimWorld.Entry finish(ClaimWorld.Entry entry, Map<Integer, Fault> faults) {
        run(entry, faults, ENOUGH_STEPS);
        assertThat(entry.running()).isFalse();
        assertThat(entry.told()).hasSize(1);
        return entry;
    }

    private static void run(ClaimWorld.Entry entry, Map<Integer, Fault> faults, int steps) {
        IntStream.range(0, steps)
                .takeWhile(step -> entry.running())
                .forEach(step -> entry.step(faults.getOrDefault(step, Fault.NONE)));
    }

    private static void interleave(
            ClaimWorld world, List<ClaimWorld.Entry> entries, Map<Integer, Fault> faults, Random random) {
        for (int step = 0; entries.stream().anyMatch(ClaimWorld.Entry::running); step++) {
            ClaimWorld.Entry chosen = entries.get(random.nextInt(entries.size()));
            if (random.nextInt(4) == 0) {
                world.deliverDelayed();
            }
            if (chosen.running()) {
                chosen.step(faults.getOrDefault(step, Fault.NONE));
            }
        }
        world.deliverDelayed();
    }

    // -- the promises

    private static void check(ClaimWorld world, List<ClaimWorld.Entry> entries) {
        assertThat(world.executions()).isLessThanOrEqualTo(1);
        entries.forEach(entry -> {
            assertThat(entry.told()).hasSize(1);
            if (entry.told().get(0) instanceof ClaimAction.Answer) {
                assertThat(world.executions()).isEqualTo(1);
            }
            if (verdict(entry).filter(Verdict.NOT_RUN::equals).isPresent()) {
                assertThat(world.executionsOf(entry)).isZero();
            }
        });
        assertThat(entries.stream()
                        .flatMap(entry -> entry.told().stream())
                        .filter(ClaimAction.Answer.class::isInstance)
                        .distinct()
                        .count())
                .isLessThanOrEqualTo(1);
    }

    /** A caller who asks again once all is well: never a second run, and a first one if it is known not to have run. */
    private static void checkRepeat(ClaimWorld world, ClaimWorld.Entry first, Map<Integer, Fault> faults) {
        int before = world.executions();
        ClaimWorld.Entry again = finish(world.entry("again", "digest"), Map.of());
        assertThat(world.executions()).isLessThanOrEqualTo(1);
        boolean restarted = faults.containsValue(Fault.SIDECARS_RESTART);
        if (before == 0 && !restarted) {
            assertThat(world.executions()).isEqualTo(1);
        }
        if (before == 1) {
            assertThat(verdict(again)).isNotEqualTo(Optional.of(Verdict.NOT_RUN));
        }
        if (verdict(first).filter(Verdict.NOT_RUN::equals).isPresent() && !restarted) {
            assertThat(again.told()).hasOnlyElementsOfType(ClaimAction.Answer.class);
        }
    }

    private static Reason refused(ClaimWorld.Entry entry) {
        assertThat(entry.told()).hasOnlyElementsOfType(ClaimAction.Refuse.class).hasSize(1);
        return ((ClaimAction.Refuse) entry.told().get(0)).refusal().reason();
    }

    private static Optional<Verdict> verdict(ClaimWorld.Entry entry) {
        return entry.told().stream()
                .filter(ClaimAction.Refuse.class::isInstance)
                .map(told -> ((ClaimAction.Refuse) told).refusal().verdict())
                .findFirst();
    }
}

package org.geraniumford.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumford.core.request.FaultyWorld.Cell;
import org.geraniumford.core.retry.RetryPolicy;
import org.geraniumford.core.routing.CostModel;
import org.geraniumford.core.routing.Fleet;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class RequestMachineFaultTest {
    private static final long SEED = 20261203;

    static Stream<Cell> cells() {
        return Stream.of(Step.values())
                .flatMap(step -> Stream.of(Fault.values())
                        .filter(fault -> fault.appliesAt(step))
                        .map(fault -> new Cell(step, fault)));
    }

    // -- the fault table

    @ParameterizedTest
    @MethodSource("cells")
    void shouldCompleteTheAnswerWhenOneAttemptFails(Cell cell) {
        assertComplete(Map.of(1, cell));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldCompleteTheAnswerWhenTwoAttemptsFailAlike(Cell cell) {
        assertComplete(Map.of(1, cell, 2, cell));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldCompleteTheAnswerWhenTwoAttemptsFailInAnyTwoWays(Cell first) {
        cells().forEach(second -> assertComplete(Map.of(1, first, 2, second)));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldEndWithATrueVerdictWhenEveryAttemptFails(Cell cell) {
        FaultyWorld world = run(Map.of(1, cell, 2, cell, 3, cell, 4, cell), true);
        assertSound(world);
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldEndAtOnceWhenTheRetryBudgetIsSpent(Cell cell) {
        FaultyWorld world = run(Map.of(1, cell), false);
        assertSound(world);
        assertThat(world.actions).noneMatch(RequestAction.Retry.class::isInstance);
        if (world.terminals.get(0) instanceof RequestAction.Fail fail && world.delivered.isEmpty()) {
            assertThat(fail.refusal().reason()).isEqualTo(Reason.RETRY_BUDGET_SPENT);
            assertThat(fail.refusal().retryAfter()).isGreaterThan(Duration.ZERO);
        }
    }

    // -- lost and frozen hosts

    @Test
    void shouldLeaveAHostAtOnceWhenItsLinkIsLost() {
        FaultyWorld world = running();
        world.send(new RequestEvent.HostLost("another", false));
        assertThat(world.actions).noneMatch(RequestAction.Retry.class::isInstance);
        world.send(new RequestEvent.HostLost(host(world), false));
        assertThat(world.actions).contains(new RequestAction.Retry(Reason.CONNECTION_LOST));
    }

    @Test
    void shouldLeaveAHostThatDoesNotAnswerAPing() {
        FaultyWorld world = running();
        String frozen = host(world);
        world.pass(Duration.ofMillis(500));
        world.send(new RequestEvent.Tick());
        assertThat(world.actions).contains(new RequestAction.Ping(frozen));
        world.pass(Duration.ofSeconds(1));
        world.send(new RequestEvent.Tick());
        assertThat(world.actions).contains(new RequestAction.Suspect(frozen), new RequestAction.Retry(Reason.TIMEOUT));
        assertCancelled(world);
    }

    @Test
    void shouldLeaveAHostThatAnswersPingsButMakesNoProgress() {
        FaultyWorld world = running();
        String stuck = host(world);
        for (int second = 0; second < 30; second++) {
            world.pass(Duration.ofSeconds(1));
            world.send(new RequestEvent.Heard(stuck));
            world.send(new RequestEvent.Tick());
        }
        assertThat(world.actions)
                .contains(new RequestAction.Retry(Reason.TIMEOUT))
                .doesNotContain(new RequestAction.Suspect(stuck));
        assertCancelled(world);
    }

    // -- the caller

    @Test
    void shouldCancelWhenTheCallerHasGone() {
        FaultyWorld world = running();
        world.send(new RequestEvent.CallerGone());
        assertThat(world.terminals).containsExactly(new RequestAction.Abandon(Reason.CALLER_GONE));
        assertCancelled(world);
    }

    @Test
    void shouldCutACallerThatTakesNothingForTooLong() {
        FaultyWorld world = running();
        world.send(new RequestEvent.CallerBlocked());
        world.pass(Duration.ofSeconds(29));
        world.send(new RequestEvent.Tick());
        assertThat(world.terminals).isEmpty();
        world.send(new RequestEvent.Heard(host(world)));
        world.pass(Duration.ofSeconds(1));
        world.send(new RequestEvent.Tick());
        assertThat(world.terminals).containsExactly(new RequestAction.Abandon(Reason.SLOW_READER));
        assertCancelled(world);
    }

    @Test
    void shouldGrantNoMoreThanTheWindowUntilTheCallerIsReady() {
        FaultyWorld world = running();
        world.send(new RequestEvent.CallerBlocked());
        IntStream.range(0, 16).forEach(offset -> world.send(chunk(world, offset)));
        assertThat(credits(world)).isEmpty();
        world.send(new RequestEvent.CallerReady());
        assertThat(credits(world)).containsExactly(32);
    }

    @Test
    void shouldRefuseAtOnceWhenNoEngineIsThere() {
        RequestMachine machine = RequestMachine.of(
                RoutingPolicy.PROBE, CostModel.standard(), RetryPolicy.standard(), RequestLimits.standard());
        RequestContext empty = new RequestContext(0, Fleet.empty(), Optional.empty(), true, 0);
        RequestStep step = machine.start(FaultyWorld.spec(), empty);
        assertThat(step.actions()).singleElement().isInstanceOfSatisfying(RequestAction.Fail.class, fail -> {
            assertThat(fail.refusal().reason()).isEqualTo(Reason.NO_BACKEND);
            assertThat(fail.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(fail.refusal().retryAfter()).isGreaterThan(Duration.ZERO);
        });
    }

    // -- support

    private static void assertComplete(Map<Integer, Cell> faults) {
        FaultyWorld world = run(faults, true);
        assertSound(world);
        assertThat(world.terminals).as("%s", faults).hasOnlyElementsOfType(RequestAction.Complete.class);
    }

    /** Checks that the tokens are right, that there is one terminal event, and that its verdict is true. */
    private static void assertSound(FaultyWorld world) {
        assertThat(world.delivered).isEqualTo(answer(world.delivered.size()));
        assertThat(world.terminals).hasSize(1);
        assertThat(world.deliveredBeforeWeightsWereKnown()).isFalse();
        if (world.terminals.get(0) instanceof RequestAction.Complete) {
            assertThat(world.delivered).hasSize(FaultyWorld.ANSWER_TOKENS);
            return;
        }
        Refusal refusal = ((RequestAction.Fail) world.terminals.get(0)).refusal();
        assertThat(refusal.verdict() == Verdict.NOT_RUN && world.passedToEngine).isFalse();
        assertThat(refusal.verdict() == Verdict.RAN && !world.passedToEngine).isFalse();
        assertThat(refusal.reason().retryable()).isTrue();
    }

    private static void assertCancelled(FaultyWorld world) {
        assertThat(world.actions)
                .filteredOn(
                        action -> action instanceof RequestAction.Send sent && sent.message() instanceof Message.Cancel)
                .hasSize(1);
    }

    private static FaultyWorld run(Map<Integer, Cell> faults, boolean budget) {
        FaultyWorld world = new FaultyWorld(faults, budget, SEED);
        world.run();
        return world;
    }

    /** Returns a world whose first attempt has been taken by its engine and has said nothing more. */
    private static FaultyWorld running() {
        FaultyWorld world = new FaultyWorld(Map.of(1, new Cell(Step.FIRST_TOKEN, Fault.FROZEN)), true, SEED);
        world.runUntilStarted();
        return world;
    }

    private static String host(FaultyWorld world) {
        return ((Phase.Running) world.state().phase()).host();
    }

    private static RequestEvent chunk(FaultyWorld world, int offset) {
        Message.Chunk chunk = new Message.Chunk(world.state().assembler().attempt(), offset, List.of("t" + offset));
        return new RequestEvent.Received(host(world), chunk);
    }

    private static List<Integer> credits(FaultyWorld world) {
        return world.actions.stream()
                .filter(RequestAction.Send.class::isInstance)
                .map(action -> ((RequestAction.Send) action).message())
                .filter(Message.Credit.class::isInstance)
                .map(message -> ((Message.Credit) message).upToOffset())
                .toList();
    }

    private static List<String> answer(int tokens) {
        return IntStream.range(0, tokens).mapToObj(offset -> "t" + offset).toList();
    }
}

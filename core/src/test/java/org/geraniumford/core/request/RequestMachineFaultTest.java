package org.geraniumford.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumford.core.request.FaultSimulation.FaultCase;
import org.geraniumford.core.retry.RetryPolicy;
import org.geraniumford.core.routing.Fleet;
import org.geraniumford.core.routing.RoutingCosts;
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

    static Stream<FaultCase> cells() {
        return Stream.of(AttemptStep.values())
                .flatMap(step -> Stream.of(Fault.values())
                        .filter(fault -> fault.appliesAt(step))
                        .map(fault -> new FaultCase(step, fault)));
    }

    // -- the fault table

    @ParameterizedTest
    @MethodSource("cells")
    void shouldCompleteTheAnswerWhenOneAttemptFails(FaultCase cell) {
        assertComplete(Map.of(1, cell));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldCompleteTheAnswerWhenTwoAttemptsFailAlike(FaultCase cell) {
        assertComplete(Map.of(1, cell, 2, cell));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldCompleteTheAnswerWhenTwoAttemptsFailInAnyTwoWays(FaultCase first) {
        cells().forEach(second -> assertComplete(Map.of(1, first, 2, second)));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldEndWithATrueVerdictWhenEveryAttemptFails(FaultCase cell) {
        FaultSimulation world = run(Map.of(1, cell, 2, cell, 3, cell, 4, cell), true);
        assertSound(world);
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldEndAtOnceWhenTheRetryBudgetIsSpent(FaultCase cell) {
        FaultSimulation world = run(Map.of(1, cell), false);
        assertSound(world);
        assertThat(world.actions).noneMatch(RequestAction.CountRetry.class::isInstance);
        if (world.terminalActions.get(0) instanceof RequestAction.Fail fail && world.delivered.isEmpty()) {
            assertThat(fail.refusal().reason()).isEqualTo(Reason.RETRY_BUDGET_SPENT);
            assertThat(fail.refusal().retryAfter()).isGreaterThan(Duration.ZERO);
        }
    }

    // -- lost and frozen hosts

    @Test
    void shouldLeaveAHostAtOnceWhenItsLinkIsLost() {
        FaultSimulation world = running();
        world.send(new RequestEvent.HostLost("another", false));
        assertThat(world.actions).noneMatch(RequestAction.CountRetry.class::isInstance);
        world.send(new RequestEvent.HostLost(host(world), false));
        assertThat(world.actions).contains(new RequestAction.CountRetry(Reason.CONNECTION_LOST));
    }

    @Test
    void shouldLeaveAHostThatDoesNotAnswerAPing() {
        FaultSimulation world = running();
        String frozen = host(world);
        world.advanceClock(Duration.ofMillis(500));
        world.send(new RequestEvent.Tick());
        assertThat(world.actions).contains(new RequestAction.Ping(frozen));
        world.advanceClock(Duration.ofSeconds(1));
        world.send(new RequestEvent.Tick());
        assertThat(world.actions)
                .contains(new RequestAction.Suspect(frozen), new RequestAction.CountRetry(Reason.TIMEOUT));
        assertCancelled(world);
    }

    @Test
    void shouldLeaveAHostThatAnswersPingsButMakesNoProgress() {
        FaultSimulation world = running();
        String stuck = host(world);
        for (int second = 0; second < 30; second++) {
            world.advanceClock(Duration.ofSeconds(1));
            world.send(new RequestEvent.PongReceived(stuck));
            world.send(new RequestEvent.Tick());
        }
        assertThat(world.actions)
                .contains(new RequestAction.CountRetry(Reason.TIMEOUT))
                .doesNotContain(new RequestAction.Suspect(stuck));
        assertCancelled(world);
    }

    // -- the caller

    @Test
    void shouldCancelWhenTheCallerHasGone() {
        FaultSimulation world = running();
        world.send(new RequestEvent.CallerDisconnected());
        assertThat(world.terminalActions).containsExactly(new RequestAction.Abandon(Reason.CALLER_GONE));
        assertCancelled(world);
    }

    @Test
    void shouldCutACallerThatTakesNothingForTooLong() {
        FaultSimulation world = running();
        world.send(new RequestEvent.CallerBlocked());
        world.advanceClock(Duration.ofSeconds(29));
        world.send(new RequestEvent.Tick());
        assertThat(world.terminalActions).isEmpty();
        world.send(new RequestEvent.PongReceived(host(world)));
        world.advanceClock(Duration.ofSeconds(1));
        world.send(new RequestEvent.Tick());
        assertThat(world.terminalActions).containsExactly(new RequestAction.Abandon(Reason.SLOW_READER));
        assertCancelled(world);
    }

    @Test
    void shouldGrantNoMoreThanTheWindowUntilTheCallerIsReady() {
        FaultSimulation world = running();
        world.send(new RequestEvent.CallerBlocked());
        IntStream.range(0, 16).forEach(offset -> world.send(chunk(world, offset)));
        assertThat(credits(world)).isEmpty();
        world.send(new RequestEvent.CallerReady());
        assertThat(credits(world)).containsExactly(32);
    }

    @Test
    void shouldRefuseAtOnceWhenNoEngineIsThere() {
        RequestMachine machine = RequestMachine.of(
                RoutingPolicy.PROBE, RoutingCosts.ofDefaults(), RetryPolicy.ofDefaults(), RequestLimits.ofDefaults());
        RequestContext empty = new RequestContext(0, Fleet.empty(), Optional.empty(), true, 0);
        RequestStep step = machine.start(FaultSimulation.spec(), empty);
        assertThat(step.actions()).singleElement().isInstanceOfSatisfying(RequestAction.Fail.class, fail -> {
            assertThat(fail.refusal().reason()).isEqualTo(Reason.NO_BACKEND);
            assertThat(fail.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(fail.refusal().retryAfter()).isGreaterThan(Duration.ZERO);
        });
    }

    // -- support

    private static void assertComplete(Map<Integer, FaultCase> faults) {
        FaultSimulation world = run(faults, true);
        assertSound(world);
        assertThat(world.terminalActions).as("%s", faults).hasOnlyElementsOfType(RequestAction.Complete.class);
    }

    /** Checks that the tokens are right, that there is one terminal event, and that its verdict is true. */
    private static void assertSound(FaultSimulation world) {
        assertThat(world.delivered).isEqualTo(answer(world.delivered.size()));
        assertThat(world.terminalActions).hasSize(1);
        assertThat(world.deliveredBeforeWeightsConfirmed()).isFalse();
        if (world.terminalActions.get(0) instanceof RequestAction.Complete) {
            assertThat(world.delivered).hasSize(FaultSimulation.OUTPUT_TOKENS);
            return;
        }
        Refusal refusal = ((RequestAction.Fail) world.terminalActions.get(0)).refusal();
        assertThat(refusal.verdict() == Verdict.NOT_RUN && world.forwardedToEngine)
                .isFalse();
        assertThat(refusal.verdict() == Verdict.RAN && !world.forwardedToEngine).isFalse();
        assertThat(refusal.reason().retryable()).isTrue();
    }

    private static void assertCancelled(FaultSimulation world) {
        assertThat(world.actions)
                .filteredOn(
                        action -> action instanceof RequestAction.Send sent && sent.message() instanceof Message.Cancel)
                .hasSize(1);
    }

    private static FaultSimulation run(Map<Integer, FaultCase> faults, boolean budget) {
        FaultSimulation world = new FaultSimulation(faults, budget, SEED);
        world.run();
        return world;
    }

    /** Returns a world whose first attempt has been taken by its engine and has said nothing more. */
    private static FaultSimulation running() {
        FaultSimulation world =
                new FaultSimulation(Map.of(1, new FaultCase(AttemptStep.FIRST_TOKEN, Fault.FROZEN)), true, SEED);
        world.runUntilStarted();
        return world;
    }

    private static String host(FaultSimulation world) {
        return ((Phase.Running) world.state().phase()).host();
    }

    private static RequestEvent chunk(FaultSimulation world, int offset) {
        Message.Chunk chunk = new Message.Chunk(world.state().assembler().attemptId(), offset, List.of("t" + offset));
        return new RequestEvent.MessageReceived(host(world), chunk);
    }

    private static List<Integer> credits(FaultSimulation world) {
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

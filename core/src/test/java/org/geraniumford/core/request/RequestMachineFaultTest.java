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
import org.geraniumford.core.routing.ConnectedEngines;
import org.geraniumford.core.routing.RoutingCosts;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against lost, repeated or wrong tokens, missing or second terminal events, and wrong verdicts when attempts
 * fail. Each fault occurs at each step to which it applies.
 */
final class RequestMachineFaultTest {
    private static final long SEED = 20261203;

    static Stream<FaultCase> faultCases() {
        return Stream.of(AttemptStep.values())
                .flatMap(step -> Stream.of(Fault.values())
                        .filter(fault -> fault.appliesAt(step))
                        .map(fault -> new FaultCase(step, fault)));
    }

    // -- the fault table

    @ParameterizedTest
    @MethodSource("faultCases")
    void shouldCompleteTheResponseWhenOneAttemptFails(FaultCase faultCase) {
        assertComplete(Map.of(1, faultCase));
    }

    @ParameterizedTest
    @MethodSource("faultCases")
    void shouldCompleteTheResponseWhenTwoAttemptsFailInTheSameWay(FaultCase faultCase) {
        assertComplete(Map.of(1, faultCase, 2, faultCase));
    }

    @ParameterizedTest
    @MethodSource("faultCases")
    void shouldCompleteTheResponseWhenTwoAttemptsFailInAnyTwoWays(FaultCase first) {
        faultCases().forEach(second -> assertComplete(Map.of(1, first, 2, second)));
    }

    @ParameterizedTest
    @MethodSource("faultCases")
    void shouldEndWithACorrectVerdictWhenEveryAttemptFails(FaultCase faultCase) {
        FaultSimulation simulation = run(Map.of(1, faultCase, 2, faultCase, 3, faultCase, 4, faultCase), true);
        assertConsistent(simulation);
    }

    @ParameterizedTest
    @MethodSource("faultCases")
    void shouldNotRetryWhenTheRetryBudgetIsSpent(FaultCase faultCase) {
        FaultSimulation simulation = run(Map.of(1, faultCase), false);
        assertConsistent(simulation);
        assertThat(simulation.actions).noneMatch(RequestAction.CountRetry.class::isInstance);
        if (simulation.terminalActions.get(0) instanceof RequestAction.Fail fail && simulation.delivered.isEmpty()) {
            assertThat(fail.refusal().reason()).isEqualTo(Reason.RETRY_BUDGET_SPENT);
            assertThat(fail.refusal().retryAfter()).isGreaterThan(Duration.ZERO);
        }
    }

    // -- lost and frozen hosts

    @Test
    void shouldRetryAtAnotherHostAtOnceWhenTheLinkIsLost() {
        FaultSimulation simulation = startedSimulation();
        simulation.send(new RequestEvent.HostLost("another", false));
        assertThat(simulation.actions).noneMatch(RequestAction.CountRetry.class::isInstance);
        simulation.send(new RequestEvent.HostLost(host(simulation), false));
        assertThat(simulation.actions).contains(new RequestAction.CountRetry(Reason.CONNECTION_LOST));
    }

    @Test
    void shouldSuspectTheHostAndRetryWhenAPingGetsNoPong() {
        FaultSimulation simulation = startedSimulation();
        String frozen = host(simulation);
        simulation.advanceClock(Duration.ofMillis(500));
        simulation.send(new RequestEvent.Tick());
        assertThat(simulation.actions).contains(new RequestAction.Ping(frozen));
        simulation.advanceClock(Duration.ofSeconds(1));
        simulation.send(new RequestEvent.Tick());
        assertThat(simulation.actions)
                .contains(new RequestAction.Suspect(frozen), new RequestAction.CountRetry(Reason.TIMEOUT));
        assertCancelled(simulation);
    }

    @Test
    void shouldRetryWithoutSuspectingTheHostWhenItSendsPongsButMakesNoProgress() {
        FaultSimulation simulation = startedSimulation();
        String stalled = host(simulation);
        for (int second = 0; second < 30; second++) {
            simulation.advanceClock(Duration.ofSeconds(1));
            simulation.send(new RequestEvent.PongReceived(stalled));
            simulation.send(new RequestEvent.Tick());
        }
        assertThat(simulation.actions)
                .contains(new RequestAction.CountRetry(Reason.TIMEOUT))
                .doesNotContain(new RequestAction.Suspect(stalled));
        assertCancelled(simulation);
    }

    // -- the caller

    @Test
    void shouldCancelTheAttemptWhenTheCallerDisconnects() {
        FaultSimulation simulation = startedSimulation();
        simulation.send(new RequestEvent.CallerDisconnected());
        assertThat(simulation.terminalActions).containsExactly(new RequestAction.Abandon(Reason.CALLER_GONE));
        assertCancelled(simulation);
    }

    @Test
    void shouldAbandonTheRequestWhenTheCallerIsBlockedForTooLong() {
        FaultSimulation simulation = startedSimulation();
        simulation.send(new RequestEvent.CallerBlocked());
        simulation.advanceClock(Duration.ofSeconds(29));
        simulation.send(new RequestEvent.Tick());
        assertThat(simulation.terminalActions).isEmpty();
        simulation.send(new RequestEvent.PongReceived(host(simulation)));
        simulation.advanceClock(Duration.ofSeconds(1));
        simulation.send(new RequestEvent.Tick());
        assertThat(simulation.terminalActions).containsExactly(new RequestAction.Abandon(Reason.SLOW_READER));
        assertCancelled(simulation);
    }

    @Test
    void shouldGrantNoFurtherCreditWhenTheCallerIsBlocked() {
        FaultSimulation simulation = startedSimulation();
        simulation.send(new RequestEvent.CallerBlocked());
        IntStream.range(0, 16).forEach(offset -> simulation.send(chunk(simulation, offset)));
        assertThat(credits(simulation)).isEmpty();
        simulation.send(new RequestEvent.CallerWritable());
        assertThat(credits(simulation)).containsExactly(32);
    }

    @Test
    void shouldRefuseAtOnceWhenNoEngineIsConnected() {
        RequestMachine machine = RequestMachine.of(
                RoutingPolicy.PROBE, RoutingCosts.ofDefaults(), RetryPolicy.ofDefaults(), RequestLimits.ofDefaults());
        RequestContext contextWithoutEngines =
                new RequestContext(0, ConnectedEngines.empty(), Optional.empty(), true, 0);
        RequestStep step = machine.start(FaultSimulation.spec(), contextWithoutEngines);
        assertThat(step.actions()).singleElement().isInstanceOfSatisfying(RequestAction.Fail.class, fail -> {
            assertThat(fail.refusal().reason()).isEqualTo(Reason.NO_BACKEND);
            assertThat(fail.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(fail.refusal().retryAfter()).isGreaterThan(Duration.ZERO);
        });
    }

    // -- support

    private static void assertComplete(Map<Integer, FaultCase> faults) {
        FaultSimulation simulation = run(faults, true);
        assertConsistent(simulation);
        assertThat(simulation.terminalActions).as("%s", faults).hasOnlyElementsOfType(RequestAction.Complete.class);
    }

    /** Checks the delivered tokens, that there is exactly one terminal event, and that its verdict is correct. */
    private static void assertConsistent(FaultSimulation simulation) {
        assertThat(simulation.delivered).isEqualTo(outputTokens(simulation.delivered.size()));
        assertThat(simulation.terminalActions).hasSize(1);
        assertThat(simulation.deliveredBeforeWeightsConfirmed()).isFalse();
        if (simulation.terminalActions.get(0) instanceof RequestAction.Complete) {
            assertThat(simulation.delivered).hasSize(FaultSimulation.OUTPUT_TOKENS);
            return;
        }
        Refusal refusal = ((RequestAction.Fail) simulation.terminalActions.get(0)).refusal();
        assertThat(refusal.verdict() == Verdict.NOT_RUN && simulation.forwardedToEngine)
                .isFalse();
        assertThat(refusal.verdict() == Verdict.RAN && !simulation.forwardedToEngine)
                .isFalse();
        assertThat(refusal.reason().retryable()).isTrue();
    }

    private static void assertCancelled(FaultSimulation simulation) {
        assertThat(simulation.actions)
                .filteredOn(
                        action -> action instanceof RequestAction.Send sent && sent.message() instanceof Message.Cancel)
                .hasSize(1);
    }

    private static FaultSimulation run(Map<Integer, FaultCase> faults, boolean retryAvailable) {
        FaultSimulation simulation = new FaultSimulation(faults, retryAvailable, SEED);
        simulation.run();
        return simulation;
    }

    /** Returns a simulation whose first attempt was started by its engine, which has sent no token yet. */
    private static FaultSimulation startedSimulation() {
        FaultSimulation simulation =
                new FaultSimulation(Map.of(1, new FaultCase(AttemptStep.FIRST_TOKEN, Fault.FROZEN)), true, SEED);
        simulation.runUntilStarted();
        return simulation;
    }

    private static String host(FaultSimulation simulation) {
        return ((Phase.Running) simulation.state().phase()).host();
    }

    private static RequestEvent chunk(FaultSimulation simulation, int offset) {
        Message.Chunk chunk =
                new Message.Chunk(simulation.state().assembler().attemptId(), offset, List.of("t" + offset));
        return new RequestEvent.FrameReceived(host(simulation), chunk);
    }

    private static List<Integer> credits(FaultSimulation simulation) {
        return simulation.actions.stream()
                .filter(RequestAction.Send.class::isInstance)
                .map(action -> ((RequestAction.Send) action).message())
                .filter(Message.Credit.class::isInstance)
                .map(message -> ((Message.Credit) message).upToOffset())
                .toList();
    }

    private static List<String> outputTokens(int tokenCount) {
        return IntStream.range(0, tokenCount).mapToObj(offset -> "t" + offset).toList();
    }
}

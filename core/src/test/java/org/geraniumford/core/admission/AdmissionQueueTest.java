package org.geraniumford.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.geraniumford.core.admission.SimulatedEngine.BLOCK_NANOS;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.junit.jupiter.api.Test;

final class AdmissionQueueTest {
    private static final long DISTANT_DEADLINE_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final AdmissionLimits ONE_PREFILL = new AdmissionLimits(64, 1, 500, 1 << 30);

    private final SimulatedEngine engine = new SimulatedEngine(ONE_PREFILL);
    private long lastNumber;

    // -- fairness

    @Test
    void shouldNotDelayOthersByMoreThanOneServiceTimeWhenOneCustomerFloods() {
        IntStream.range(0, 100).forEach(i -> engine.offer(request("flood", 0, DISTANT_DEADLINE_NANOS)));
        for (int i = 0; i < 20; i++) {
            engine.runUntil(engine.nowNanos + 4 * BLOCK_NANOS);
            AdmissionRequest quiet = request("quiet", 0, DISTANT_DEADLINE_NANOS);
            engine.offer(quiet);
            engine.runUntil(engine.nowNanos + 2 * BLOCK_NANOS);
            assertThat(engine.nanosToFirstToken(quiet.id())).isLessThanOrEqualTo(2 * BLOCK_NANOS);
        }
    }

    @Test
    void shouldShareEngineByWeightWhenBothCustomersAreBacklogged() {
        IntStream.range(0, 60).forEach(i -> {
            engine.offer(request("large", 3, 0, DISTANT_DEADLINE_NANOS, ownBlocks(1)));
            engine.offer(request("small", 1, 0, DISTANT_DEADLINE_NANOS, ownBlocks(1)));
        });
        engine.runUntil(40 * BLOCK_NANOS);
        long firstTokensOfLarge = engine.firstTokenNanos.keySet().stream()
                .filter(id -> id.requestId().startsWith("large"))
                .count();
        assertThat(firstTokensOfLarge).isBetween(29L, 31L);
    }

    @Test
    void shouldServeByPriorityThenArrivalWhenCustomerIsTheSame() {
        engine.offer(request("a", 1, DISTANT_DEADLINE_NANOS));
        AdmissionRequest lastByPriority = request("a", 2, DISTANT_DEADLINE_NANOS);
        AdmissionRequest urgent = request("a", 0, DISTANT_DEADLINE_NANOS);
        AdmissionRequest later = request("a", 0, DISTANT_DEADLINE_NANOS);
        List.of(lastByPriority, urgent, later).forEach(engine::offer);
        engine.runUntilIdle();
        assertThat(engine.forwarded.subList(1, 4)).containsExactly(urgent.id(), later.id(), lastByPriority.id());
    }

    // -- shared prefixes

    @Test
    void shouldComputeSharedPrefixOnceWhenRequestsArriveTogether() {
        AdmissionLimits eightPrefills = new AdmissionLimits(64, 8, 500, 1 << 30);
        SimulatedEngine manyPrefillsEngine = new SimulatedEngine(eightPrefills);
        IntStream.range(0, 6)
                .forEach(i -> manyPrefillsEngine.offer(
                        request("a", 1, 0, DISTANT_DEADLINE_NANOS, blocksWithSharedPrefix(10, 11))));
        assertThat(manyPrefillsEngine.forwarded).hasSize(1);
        manyPrefillsEngine.offer(request("b", 1, 0, DISTANT_DEADLINE_NANOS, ownBlocks(1)));
        assertThat(manyPrefillsEngine.forwarded).hasSize(2);
        manyPrefillsEngine.runUntilIdle();
        assertThat(manyPrefillsEngine.firstTokenNanos).hasSize(7);
        assertThat(manyPrefillsEngine.computedBlocks).isEqualTo(10 + 6 + 1);
    }

    // -- deadlines

    @Test
    void shouldRefuseOnArrivalWithRetryAfterDelayWhenWaitExceedsDeadline() {
        IntStream.range(0, 10).forEach(i -> engine.offer(request("a", 0, DISTANT_DEADLINE_NANOS)));
        AdmissionRequest urgent = request("a", 0, 4 * BLOCK_NANOS);
        engine.offer(urgent);
        Refusal refusal = engine.refused.get(urgent.id());
        assertThat(refusal.reason()).isEqualTo(Reason.DEADLINE_UNREACHABLE);
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        engine.runUntil(refusal.retryAfter().toNanos());
        AdmissionRequest retry = request("a", 0, engine.nowNanos + 4 * BLOCK_NANOS);
        engine.offer(retry);
        engine.runUntilIdle();
        assertThat(engine.nanosToFirstToken(retry.id())).isLessThanOrEqualTo(4 * BLOCK_NANOS);
    }

    @Test
    void shouldAdmitRequestWhosePrefillAloneExceedsDeadlineWhenEngineIsIdle() {
        AdmissionRequest cold = request("a", 1, 0, 4 * BLOCK_NANOS, ownBlocks(10));
        engine.offer(cold);
        engine.runUntilIdle();
        assertThat(engine.firstTokenNanos).containsKey(cold.id());
    }

    @Test
    void shouldRefuseAsNotRunWhenDeadlinePassesInQueue() {
        engine.offer(request("a", 1, 0, DISTANT_DEADLINE_NANOS, ownBlocks(2)));
        AdmissionRequest queued = request("a", 0, 3 * BLOCK_NANOS);
        engine.offer(queued);
        engine.queue.recordPrefillStart(engine.forwarded.get(0), 0, engine.nowNanos);
        assertThat(engine.queue.refuseExpired(3 * BLOCK_NANOS)).isEmpty();
        assertThat(engine.queue.refuseExpired(3 * BLOCK_NANOS + 1))
                .singleElement()
                .isInstanceOfSatisfying(AdmissionAction.Refuse.class, refuse -> {
                    assertThat(refuse.id()).isEqualTo(queued.id());
                    assertThat(refuse.refusal().reason()).isEqualTo(Reason.DEADLINE_PASSED);
                    assertThat(refuse.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
                });
        assertThat(engine.queue.waiting()).isZero();
    }

    // -- limits

    @Test
    void shouldShedRequestOfCustomerWithMostQueuedWorkWhenQueueIsFull() {
        SimulatedEngine shortQueueEngine = new SimulatedEngine(new AdmissionLimits(64, 1, 10, 1 << 30));
        IntStream.range(0, 11).forEach(i -> shortQueueEngine.offer(request("flood", 0, DISTANT_DEADLINE_NANOS)));
        AdmissionRequest quiet = request("quiet", 0, DISTANT_DEADLINE_NANOS);
        shortQueueEngine.offer(quiet);
        assertThat(shortQueueEngine.refused).hasSize(1).doesNotContainKey(quiet.id());
        assertThat(shortQueueEngine.refused.values()).allSatisfy(refusal -> {
            assertThat(refusal.reason()).isEqualTo(Reason.QUEUE_FULL);
            assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        });
        assertThat(shortQueueEngine.queue.waiting()).isEqualTo(10);
    }

    @Test
    void shouldHoldNoRequestWhenQueuedAndRunningOnesAreRemoved() {
        AdmissionRequest running = request("a", 0, DISTANT_DEADLINE_NANOS);
        AdmissionRequest queued = request("a", 0, DISTANT_DEADLINE_NANOS);
        engine.offer(running);
        engine.offer(queued);
        engine.queue.remove(queued.id());
        engine.queue.remove(running.id());
        assertThat(engine.queue.waiting() + engine.queue.running()).isZero();
        assertThat(engine.queue.estimatedWaitNanos(0)).isZero();
    }

    // -- helpers

    private List<Block> ownBlocks(int count) {
        return SimulatedEngine.blocks(0, 0, ++lastNumber, count);
    }

    private List<Block> blocksWithSharedPrefix(int sharedCount, int count) {
        return SimulatedEngine.blocks(-1, sharedCount, ++lastNumber, count);
    }

    private AdmissionRequest request(String customer, int priority, long deadlineNanos) {
        return request(customer, 1, priority, deadlineNanos, ownBlocks(1));
    }

    private AdmissionRequest request(
            String customer, int weight, int priority, long deadlineNanos, List<Block> blocks) {
        AttemptId id = new AttemptId(customer + "-" + ++lastNumber, 1);
        return new AdmissionRequest(id, customer, weight, priority, deadlineNanos, blocks, 1, 100);
    }
}

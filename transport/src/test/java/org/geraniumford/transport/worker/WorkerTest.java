package org.geraniumford.transport.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class WorkerTest {
    private static final Duration TICK = Duration.ofMillis(10);

    // -- commands

    @Test
    void shouldHandleOnlyAcceptedEventsInOrderWhenTheRingIsFull() throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        List<Integer> handled = new CopyOnWriteArrayList<>();
        Worker<Integer> worker = Worker.start("duty", 4, TICK, event -> {
            begun.countDown();
            awaitQuietly(release);
            handled.add(event);
        });
        worker.offer(0);
        assertThat(begun.await(30, TimeUnit.SECONDS)).isTrue();
        int accepted = 0;
        while (worker.offer(accepted + 1)) {
            accepted++;
        }
        release.countDown();
        worker.close();
        // The lower bound allows for a queue that keeps an event until it is handled.
        assertThat(accepted).isBetween(3, 4);
        assertThat(handled).isSorted().hasSize(accepted + 1);
        assertThat(worker.offer(9)).isFalse();
    }

    @Test
    void shouldHandleLaterEventsWhenHandlingAnEventFails() {
        List<Integer> handled = new CopyOnWriteArrayList<>();
        Worker<Integer> worker = Worker.start("duty", 4, TICK, event -> {
            if (event == 0) {
                throw new IllegalStateException("broken event");
            }
            handled.add(event);
        });
        worker.offer(0);
        worker.offer(1);
        worker.close();
        assertThat(handled).containsExactly(1);
    }

    @Test
    void shouldTickAndHandleEventsWhenTheHandlerIsIdle() throws InterruptedException {
        CountDownLatch ticks = new CountDownLatch(2);
        CountDownLatch events = new CountDownLatch(1);
        WorkerHandler<Integer> handler = new WorkerHandler<>() {
            @Override
            public void handle(Integer event) {
                events.countDown();
            }

            @Override
            public void tick() {
                ticks.countDown();
            }

            @Override
            public boolean isIdle() {
                return true;
            }
        };
        try (Worker<Integer> worker = Worker.start("duty", 4, TICK, handler)) {
            assertThat(ticks.await(30, TimeUnit.SECONDS)).isTrue();
            assertThat(worker.offer(1)).isTrue();
            assertThat(events.await(30, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

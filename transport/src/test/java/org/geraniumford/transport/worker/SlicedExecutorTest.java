package org.geraniumford.transport.worker;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class SlicedExecutorTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final SlicedExecutor executor = SlicedExecutor.of(loop);
    private final List<String> ran = new ArrayList<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void onLoop(Runnable action) {
        CompletableFuture.runAsync(action, loop).join();
    }

    private void awaitEmpty() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (CompletableFuture.supplyAsync(executor::size, loop).join() > 0) {
            assertThat(System.nanoTime() - deadlineNanos)
                    .as("nanoseconds beyond the limit")
                    .isNegative();
            Thread.sleep(1);
        }
    }

    private static void busy(long millis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() - endNanos < 0) {
            Thread.onSpinWait();
        }
    }

    @Test
    void shouldRunTasksInOrderAndBackgroundTasksAfterTheFirstSlice() throws Exception {
        onLoop(() -> {
            executor.executeInBackground(() -> ran.add("background-1"));
            executor.executeInBackground(() -> ran.add("background-2"));
            executor.execute(() -> ran.add("first"));
            executor.execute(() -> ran.add("second"));
        });
        awaitEmpty();
        assertThat(ran).containsExactly("background-1", "first", "second", "background-2");
    }

    /** Guards against peers that are never heard because callers' requests always come first. */
    @Test
    void shouldRunABackgroundTaskInEachSliceWhenOtherTasksNeverEnd() throws Exception {
        onLoop(() -> {
            for (int i = 0; i < 20; i++) {
                executor.execute(() -> {
                    busy(6);
                    ran.add("task");
                });
                executor.executeInBackground(() -> ran.add("background"));
            }
        });
        awaitEmpty();
        assertThat(ran.subList(0, 6)).containsExactly("background", "task", "background", "task", "background", "task");
    }

    /** Guards against a thread that is behind and does not read the end of a connection before it goes on. */
    @Test
    void shouldLetTheThreadDoOtherWorkBetweenSlices() throws Exception {
        onLoop(() -> {
            for (int i = 0; i < 3; i++) {
                executor.execute(() -> {
                    ran.add("task");
                    loop.schedule(() -> ran.add("other work"), 0, TimeUnit.MILLISECONDS);
                    busy(6);
                });
            }
        });
        awaitEmpty();
        // Scheduled on the thread itself, a task waits behind the other work; one scheduled from outside may run
        // before.
        CompletableFuture.supplyAsync(() -> loop.schedule(() -> {}, 0, TimeUnit.MILLISECONDS), loop)
                .join()
                .get();
        assertThat(ran).containsExactly("task", "other work", "task", "other work", "task", "other work");
    }

    @Test
    void shouldRunTheNextTaskWhenOneFails() throws Exception {
        onLoop(() -> {
            executor.execute(() -> {
                throw new IllegalStateException("a defect");
            });
            executor.execute(() -> ran.add("next"));
        });
        awaitEmpty();
        assertThat(ran).containsExactly("next");
    }

    /** Guards against a thread that handles no request any more after one of them ran out of memory. */
    @Test
    void shouldRunLaterTasksWhenOneEndsWithAnError() throws Exception {
        onLoop(() -> {
            executor.execute(() -> {
                throw new OutOfMemoryError("thrown by a test");
            });
            executor.execute(() -> ran.add("next"));
        });
        awaitEmpty();
        onLoop(() -> executor.execute(() -> ran.add("later")));
        awaitEmpty();
        assertThat(ran).containsExactly("next", "later");
    }

    @Test
    void shouldReturnTheLongestWaitOnce() throws Exception {
        onLoop(() -> {
            executor.execute(() -> busy(20));
            executor.execute(() -> ran.add("waited"));
        });
        awaitEmpty();
        long waitedMillis = CompletableFuture.supplyAsync(executor::takeLongestWait, loop)
                .join()
                .toMillis();
        assertThat(waitedMillis).isGreaterThanOrEqualTo(20);
        onLoop(() -> assertThat(executor.takeLongestWait()).isZero());
    }
}

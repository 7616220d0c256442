package org.geraniumford.transport.worker;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks of a network thread between its rounds of I/O. However many tasks wait, what has arrived on the
 * connections, the end of a connection included, is read after each slice of 5 ms: a thread that is behind thus learns
 * that a caller has left before it starts on the caller's request. Background tasks run after the others; of each slice
 * at least one task is a background task if there is one. Used on its network thread only.
 */
public final class SlicedExecutor {
    private static final Duration SLICE = Duration.ofMillis(5);

    /** Scheduled tasks run after the next round of I/O; tasks that are merely added would run before it. */
    private static final Duration PAUSE = Duration.ofMillis(1);

    private record Task(Runnable action, long addedNanos) {}

    private final EventLoop loop;
    private final Deque<Task> tasks = new ArrayDeque<>();
    private final Deque<Task> backgroundTasks = new ArrayDeque<>();
    private boolean scheduled;
    private long longestWaitNanos;

    private SlicedExecutor(EventLoop loop) {
        this.loop = loop;
    }

    // -- construction

    /**
     * Creates an executor without tasks.
     *
     * @param loop the network thread
     * @return a new executor
     */
    public static SlicedExecutor of(EventLoop loop) {
        return new SlicedExecutor(requireNonNull(loop, "loop is null"));
    }

    // -- queries

    /**
     * Returns how many tasks wait.
     *
     * @return a number of 0 or more, background tasks included
     */
    public int size() {
        return tasks.size() + backgroundTasks.size();
    }

    // -- commands

    /**
     * Adds a task.
     *
     * @param action runs after the current round of I/O, in the order of the calls
     */
    public void execute(Runnable action) {
        add(tasks, action);
    }

    /**
     * Adds a background task.
     *
     * @param action runs after the tasks that are not in the background, in the order of the calls
     */
    public void executeInBackground(Runnable action) {
        add(backgroundTasks, action);
    }

    /**
     * Returns the longest time that a task has waited, background tasks excepted, and starts measuring anew.
     *
     * @return the time since the call before this one; zero if no task ran
     */
    public Duration takeLongestWait() {
        Duration longest = Duration.ofNanos(longestWaitNanos);
        longestWaitNanos = 0;
        return longest;
    }

    private void add(Deque<Task> queue, Runnable action) {
        long nowNanos = System.nanoTime();
        queue.add(new Task(requireNonNull(action, "action is null"), nowNanos));
        if (!scheduled) {
            scheduled = true;
            loop.execute(() -> runFirstSlice(nowNanos));
        }
    }

    /** Waits for another round of I/O if other work of the thread has taken long since the task was added. */
    private void runFirstSlice(long addedNanos) {
        if (System.nanoTime() - addedNanos > SLICE.toNanos()) {
            loop.schedule(this::runSlice, PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            runSlice();
        }
    }

    /** Runs a slice. A task that ends it with an {@link Error} does not keep the tasks behind it from running. */
    private void runSlice() {
        try {
            runTasks();
        } finally {
            scheduleNextSlice();
        }
    }

    private void runTasks() {
        long endNanos = System.nanoTime() + SLICE.toNanos();
        run(backgroundTasks.poll());
        while (size() > 0 && System.nanoTime() - endNanos < 0) {
            runNext();
        }
    }

    private void scheduleNextSlice() {
        scheduled = size() > 0;
        if (scheduled) {
            loop.schedule(this::runSlice, PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void runNext() {
        Task next = tasks.poll();
        if (next == null) {
            run(backgroundTasks.poll());
            return;
        }
        longestWaitNanos = Math.max(longestWaitNanos, System.nanoTime() - next.addedNanos());
        run(next);
    }

    private static void run(Task task) {
        if (task == null) {
            return;
        }
        Guarded.run("task", task.action());
    }
}

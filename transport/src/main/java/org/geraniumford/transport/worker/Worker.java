package org.geraniumford.transport.worker;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.geraniumford.transport.log.LogEvent;
import org.jctools.queues.MpscArrayQueue;

/**
 * A thread that handles the events of a bounded ring buffer in order. Any thread may offer events; they are not
 * accepted while the ring is full.
 *
 * @param <E> the type of event
 */
public final class Worker<E> implements AutoCloseable {
    /** The factor by which the tick interval is multiplied while the handler is idle. */
    public static final int IDLE_TICK_FACTOR = 10;

    private static final int MAX_BATCH_EVENTS = 256;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    private final MpscArrayQueue<E> ring;
    private final WorkerHandler<E> handler;
    private final long tickNanos;
    private final Thread thread;
    private volatile boolean running = true;
    private volatile boolean parked;

    private Worker(String name, int capacity, Duration tick, WorkerHandler<E> handler) {
        this.ring = new MpscArrayQueue<>(capacity);
        this.handler = handler;
        this.tickNanos = tick.toNanos();
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    // -- construction

    /**
     * Starts a worker.
     *
     * @param name the thread's name
     * @param capacity the ring's size in events, at least 2; rounded up to a power of two
     * @param tick the tick interval: the longest time between two calls of {@link WorkerHandler#tick()}, unless the
     *     handler is idle
     * @param handler handles the events and ticks
     * @param <E> the type of event
     * @return the running worker
     */
    public static <E> Worker<E> start(String name, int capacity, Duration tick, WorkerHandler<E> handler) {
        requireNonNull(handler, "handler is null");
        Worker<E> worker = new Worker<>(name, capacity, tick, handler);
        worker.thread.start();
        return worker;
    }

    // -- commands

    /**
     * Adds an event to the ring.
     *
     * @param event the event
     * @return false if the ring is full or the worker is closed; the event is then not handled
     */
    public boolean offer(E event) {
        if (!running || !ring.offer(event)) {
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /**
     * Handles the remaining events and ends the thread. Blocks until the thread has ended, for at most 5 s; returns
     * immediately if called on the worker's own thread.
     */
    @Override
    public void close() {
        running = false;
        LockSupport.unpark(thread);
        if (Thread.currentThread() != thread) {
            join();
        }
    }

    // -- queries

    /**
     * Returns the number of events in the ring.
     *
     * @return a number from 0 to the rounded capacity
     */
    public int backlog() {
        return ring.size();
    }

    // -- thread

    private void run() {
        long nextTick = System.nanoTime() + tickNanos;
        while (running || !ring.isEmpty()) {
            int handled = drainBatch();
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                runGuarded(handler::tick);
                nextTick = now + tickNanos * (handler.isIdle() ? IDLE_TICK_FACTOR : 1);
            } else if (handled > 0) {
                // Ends the longer tick interval of an idle handler.
                nextTick = Math.min(nextTick, now + tickNanos);
            } else {
                park(nextTick - now);
            }
        }
    }

    private int drainBatch() {
        return ring.drain(event -> runGuarded(() -> handler.handle(event)), MAX_BATCH_EVENTS);
    }

    private void park(long nanos) {
        // Set before the ring is checked, so that the thread is woken for an event that is offered after the check.
        parked = true;
        if (ring.isEmpty() && running) {
            LockSupport.parkNanos(this, nanos);
        }
        parked = false;
    }

    private void runGuarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LogEvent.of("duty_failed").with("duty", thread.getName()).error(e);
        }
    }

    private void join() {
        try {
            thread.join(STOP_TIMEOUT.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

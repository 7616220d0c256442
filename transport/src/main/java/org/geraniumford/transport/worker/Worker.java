package org.geraniumford.transport.worker;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.geraniumford.transport.log.LogEvent;
import org.jctools.queues.MpscArrayQueue;

/**
 * A thread that handles the events of a bounded ring in order. Any thread may offer events; a full ring refuses them.
 *
 * @param <E> the type of event
 */
public final class Worker<E> implements AutoCloseable {
    /** How many times further apart ticks are while the handler is idle. */
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
     * Starts a duty.
     *
     * @param name the thread's name
     * @param capacity the ring's size in events, at least 2
     * @param tick the longest time between two calls of {@link WorkerHandler#tick()}
     * @param handler the work
     * @param <E> the type of event
     * @return the running duty
     */
    public static <E> Worker<E> start(String name, int capacity, Duration tick, WorkerHandler<E> handler) {
        requireNonNull(handler, "handler is null");
        Worker<E> duty = new Worker<>(name, capacity, tick, handler);
        duty.thread.start();
        return duty;
    }

    // -- commands

    /**
     * Hands an event to the duty.
     *
     * @param event the event
     * @return false if the ring is full or the duty is closed; the event is then not handled
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

    /** Handles what the ring holds, then ends the thread. */
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
     * Returns the number of events that wait.
     *
     * @return 0 up to the capacity
     */
    public int backlog() {
        return ring.size();
    }

    // -- the thread

    private void run() {
        long nextTick = System.nanoTime() + tickNanos;
        while (running || !ring.isEmpty()) {
            int handled = drainBatch();
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                runGuarded(handler::tick);
                nextTick = now + tickNanos * (handler.isIdle() ? IDLE_TICK_FACTOR : 1);
            } else if (handled > 0) {
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

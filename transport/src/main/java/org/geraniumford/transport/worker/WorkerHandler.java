package org.geraniumford.transport.worker;

/**
 * The work of one {@link Worker}. Its methods run on the worker's thread only. Runtime exceptions of {@link #handle}
 * and {@link #tick} are logged, and the worker continues.
 *
 * @param <E> the type of event
 */
public interface WorkerHandler<E> {
    /**
     * Handles one event.
     *
     * @param event the next event in the ring
     */
    void handle(E event);

    /**
     * Does periodic work. Called about once in each tick interval, also under load, and less often while
     * {@link #isIdle} returns true.
     */
    default void tick() {}

    /**
     * Returns whether the handler needs no tick soon.
     *
     * @return true to make the tick interval {@value Worker#IDLE_TICK_FACTOR} times as long until the next event
     */
    default boolean isIdle() {
        return false;
    }
}

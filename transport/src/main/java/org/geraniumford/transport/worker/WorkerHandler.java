package org.geraniumford.transport.worker;

/**
 * The work of one duty. Its methods run on the duty's thread only.
 *
 * @param <E> the type of event
 */
public interface WorkerHandler<E> {
    /**
     * Handles one event.
     *
     * @param event the next event of the ring
     */
    void handle(E event);

    /**
     * Handles the passing of time; called about once in each tick interval, also under load, and less often while
     * {@link #isIdle}.
     */
    default void tick() {}

    /**
     * Says whether nothing waits for a tick soon.
     *
     * @return true to have ticks {@value Duty#IDLE_FACTOR} times as far apart until the next event
     */
    default boolean isIdle() {
        return false;
    }
}

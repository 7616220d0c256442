package org.geraniumford.transport.duty;

/**
 * The work of one duty. Its methods run on the duty's thread only.
 *
 * @param <E> the type of event
 */
public interface DutyHandler<E> {
    /**
     * Handles one event.
     *
     * @param event the next event of the ring
     */
    void handle(E event);

    /** Handles the passing of time; called about once in each tick interval, also under load. */
    default void tick() {}
}

package org.geraniumford.daemon.load;

import java.util.List;

/**
 * One request of a trace.
 *
 * @param atMicros when it is sent, in microseconds of the modelled deployment from the start
 * @param customer the customer's number, from 0
 * @param levels the prompt's levels, outermost first
 */
public record Arrival(long atMicros, int customer, List<Level> levels) {
    /** Copies the list. */
    public Arrival {
        levels = List.copyOf(levels);
    }

    /**
     * One level of a prompt.
     *
     * @param name names its text; equal names have equal texts
     * @param tokens its length
     */
    public record Level(String name, int tokens) {}
}

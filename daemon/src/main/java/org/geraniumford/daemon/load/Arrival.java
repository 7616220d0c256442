package org.geraniumford.daemon.load;

import java.util.List;

/**
 * One request of a trace.
 *
 * @param atMicros the time of sending in microseconds of the modelled deployment, from the start of the run
 * @param customer the customer's number, from 0
 * @param levels the levels of the prompt, in the order in which the prompt contains them; {@link Trace} generates four:
 *     the customer's preamble, a group's text, a document and a question
 */
public record Arrival(long atMicros, int customer, List<Level> levels) {
    /** Copies the list of levels. */
    public Arrival {
        levels = List.copyOf(levels);
    }

    /**
     * One level of a prompt.
     *
     * @param name identifies the level's text; levels of equal name and length have equal texts
     * @param tokens the length of the text in tokens
     */
    public record Level(String name, int tokens) {}
}

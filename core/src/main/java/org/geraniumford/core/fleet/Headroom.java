package org.geraniumford.core.fleet;

/**
 * What less urgent requests leave free at each engine for more urgent ones.
 *
 * @param tokens the memory, in tokens, that the more urgent requests are expected to need
 * @param slots the number of slots that they are expected to need
 */
public record Headroom(double tokens, double slots) {
    /** No room is kept, because no request is more urgent or none was seen. */
    public static final Headroom NONE = new Headroom(0, 0);
}

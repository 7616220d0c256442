package org.geraniumford.core.quarantine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The shared segments of one attempt at an engine, with what was known about them when the attempt began. */
public final class PromptUse {
    private final Map<Long, Integer> levels;
    private final List<Long> tried;

    private PromptUse(Map<Long, Integer> levels, List<Long> tried) {
        this.levels = levels;
        this.tried = tried;
    }

    // -- construction

    /**
     * Returns the use of an attempt without a prompt, or of one whose response has begun already.
     *
     * @return a use without segments
     */
    public static PromptUse empty() {
        return new PromptUse(Map.of(), List.of());
    }

    static PromptUse of(Map<Long, Integer> levels, List<Long> tried) {
        return new PromptUse(new LinkedHashMap<>(levels), List.copyOf(tried));
    }

    // -- queries

    /**
     * Returns the keys of the shared segments.
     *
     * @return the keys, in the order of the prompt
     */
    public List<Long> segments() {
        return List.copyOf(levels.keySet());
    }

    /**
     * Returns the keys of the held segments that the attempt has on trial.
     *
     * @return the keys; empty if no segment was held
     */
    public List<Long> tried() {
        return tried;
    }

    /** Returns the segments to which the end of the engine is attributed: those on trial, or else all. */
    List<Long> accused() {
        return tried.isEmpty() ? segments() : tried;
    }

    int level(long segment) {
        return levels.getOrDefault(segment, 0);
    }
}

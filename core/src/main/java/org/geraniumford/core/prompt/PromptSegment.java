package org.geraniumford.core.prompt;

import static java.util.Objects.requireNonNull;

/**
 * One part of a prompt.
 *
 * @param id names the part's content; equal parts have equal names
 * @param tokens its length in tokens
 */
public record PromptSegment(String id, long tokens) {
    /** Checks the components. */
    public PromptSegment {
        requireNonNull(id, "id is null");
    }
}

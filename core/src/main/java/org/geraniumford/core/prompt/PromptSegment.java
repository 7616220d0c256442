package org.geraniumford.core.prompt;

import static java.util.Objects.requireNonNull;

/**
 * A segment of a prompt, named by the caller.
 *
 * @param id the identifier of the segment's content; equal segments have equal identifiers
 * @param tokens the segment's length in tokens
 */
public record PromptSegment(String id, long tokens) {
    /** Checks the components. */
    public PromptSegment {
        requireNonNull(id, "id is null");
    }
}

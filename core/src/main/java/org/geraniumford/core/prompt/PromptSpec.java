package org.geraniumford.core.prompt;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The shape of a prompt, without its text.
 *
 * @param model the model that answers
 * @param inputTokens the length of the whole prompt
 * @param maxOutputTokens the largest number of tokens that may be generated
 * @param segments the parts in order; the last one belongs to the request or its session
 */
public record PromptSpec(String model, long inputTokens, long maxOutputTokens, List<PromptSegment> segments) {
    /** Checks and copies the components. */
    public PromptSpec {
        requireNonNull(model, "model is null");
        segments = List.copyOf(segments);
    }

    // -- queries

    /**
     * Returns the memory that the request needs at its end.
     *
     * @return tokens of input and output
     */
    public long totalTokens() {
        return inputTokens + maxOutputTokens;
    }
}

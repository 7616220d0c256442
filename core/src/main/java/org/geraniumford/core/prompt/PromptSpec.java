package org.geraniumford.core.prompt;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The description of a prompt, without its text.
 *
 * @param model the name of the model that generates the response
 * @param inputTokens the length of the whole prompt in tokens
 * @param maxOutputTokens the maximum number of generated tokens
 * @param segments the prompt's segments, in order; other requests may share all but the last one, which is specific to
 *     the request or its session
 */
public record PromptSpec(String model, long inputTokens, long maxOutputTokens, List<PromptSegment> segments) {
    /** Checks and copies the components. */
    public PromptSpec {
        requireNonNull(model, "model is null");
        segments = List.copyOf(segments);
    }

    // -- queries

    /**
     * Returns the KV memory, in tokens, that the request needs if it generates the maximum number of output tokens.
     *
     * @return the number of input tokens plus the maximum number of output tokens
     */
    public long totalTokens() {
        return inputTokens + maxOutputTokens;
    }
}

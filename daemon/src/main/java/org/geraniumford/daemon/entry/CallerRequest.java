package org.geraniumford.daemon.entry;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The body of a model request.
 *
 * @param model the model's name
 * @param levels the consecutive parts of the prompt, first to last: the messages of a chat completion, or the whole
 *     prompt of a text completion
 * @param maxTokens the requested limit on the length of the response, in tokens; empty for the model's own limit
 * @param stream whether the response is to be streamed as server-sent events
 * @param priorityClass the name of the requested priority class; empty for the class with the largest rank, which is
 *     served last
 */
record CallerRequest(
        String model, List<String> levels, OptionalInt maxTokens, boolean stream, Optional<String> priorityClass) {
    CallerRequest {
        requireNonNull(model, "model is null");
        requireNonNull(maxTokens, "maxTokens is null");
        requireNonNull(priorityClass, "priorityClass is null");
        levels = List.copyOf(levels);
    }

    // -- queries

    /** Returns the whole prompt text, which is the levels joined. */
    String prompt() {
        return String.join("", levels);
    }
}

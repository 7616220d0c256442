package org.geraniumford.transport.engine;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.CacheScope;

/**
 * A completion request to a model engine.
 *
 * @param requestId the identifier, with which the request can be cancelled
 * @param model the name of the model version
 * @param scope the customer, weights and adapter that cached prefixes belong to
 * @param prompt the text of the whole prompt
 * @param blocks the prompt's blocks in order
 * @param priority the priority rank; 0 is served first
 * @param maxTokens the maximum length of the response in tokens
 * @param resumeOffset the number of output tokens that were already delivered and are not sent again
 */
public record EngineRequest(
        String requestId,
        String model,
        CacheScope scope,
        String prompt,
        List<Block> blocks,
        int priority,
        int maxTokens,
        int resumeOffset) {
    /** Checks the components and copies the list. */
    public EngineRequest {
        requireNonNull(requestId, "requestId is null");
        requireNonNull(model, "model is null");
        requireNonNull(scope, "scope is null");
        requireNonNull(prompt, "prompt is null");
        blocks = List.copyOf(blocks);
    }
}

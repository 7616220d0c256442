package org.geraniumford.transport.engine;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.CacheScope;

/**
 * A completion request to a model engine.
 *
 * @param requestId the identifier by which it is cancelled
 * @param model the model version's name
 * @param scope what the cached prefixes belong to
 * @param prompt the whole prompt text
 * @param blocks the prompt's pieces
 * @param priority the rank; 0 is served first
 * @param maxTokens the longest answer, in tokens
 * @param resumeOffset the number of answer tokens to leave out
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

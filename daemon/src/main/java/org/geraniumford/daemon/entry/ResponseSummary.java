package org.geraniumford.daemon.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The usage and routing figures of a complete response.
 *
 * @param finishReason the reason for which the engine stopped generating
 * @param promptTokens the prompt's length in tokens
 * @param completionTokens the length of the whole response in tokens, over all attempts
 * @param cachedTokens the number of prompt tokens that the last attempt found in the prefix cache
 * @param backend the host that finished the response
 * @param attempts the number of attempts made
 * @param cachedBlocks the number of prompt blocks that the last attempt found in the prefix cache
 * @param blocks the number of blocks in the prompt
 */
record ResponseSummary(
        String finishReason,
        int promptTokens,
        int completionTokens,
        int cachedTokens,
        String backend,
        int attempts,
        int cachedBlocks,
        int blocks) {
    // -- queries

    /** Adds the figures to a JSON response body and returns the body. */
    ObjectNode addTo(ObjectNode body) {
        ObjectNode usage = body.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", completionTokens)
                .put("total_tokens", promptTokens + completionTokens);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
        body.putObject("geraniumford")
                .put("backend", backend)
                .put("attempts", attempts)
                .put("cached_pieces", cachedBlocks)
                .put("pieces", blocks);
        return body;
    }
}

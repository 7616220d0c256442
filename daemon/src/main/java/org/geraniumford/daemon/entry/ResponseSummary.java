package org.geraniumford.daemon.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What a complete answer says about itself.
 *
 * @param finishReason why it ends
 * @param promptTokens the prompt's length in tokens
 * @param completionTokens the answer's length in tokens
 * @param cachedTokens the number of prompt tokens taken from the cache
 * @param backend the host that finished it
 * @param attempts the number of attempts made
 * @param cachedBlocks the number of pieces that the last attempt took from the cache
 * @param blocks the number of pieces in the prompt
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

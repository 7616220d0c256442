package org.geraniumford.standins.engine;

import java.util.List;
import java.util.Objects;
import org.geraniumford.core.prefix.BlockKey;

/**
 * A checked completion request.
 *
 * @param requestId the identifier of the request
 * @param model the model version; empty if none; only {@code weightsDigest} is compared with the loaded model
 * @param weightsDigest the digest of the weights that must serve the request
 * @param cacheSalt the customer that sent the prompt
 * @param adapter the name of the adapter; empty if none
 * @param prompt the text of the prompt
 * @param pieceKeys the key of each block of the prompt
 * @param pieceTokens the length of each block in tokens
 * @param priority the priority; lower values run first, from 0
 * @param maxTokens the maximum length of the output in tokens, at least 1
 * @param resumeOffset the number of output tokens that are already delivered and not sent again, at least 0
 */
public record CompletionRequest(
        String requestId,
        String model,
        String weightsDigest,
        String cacheSalt,
        String adapter,
        String prompt,
        List<BlockKey> pieceKeys,
        List<Integer> pieceTokens,
        int priority,
        int maxTokens,
        int resumeOffset) {
    /**
     * Checks the components and copies the lists.
     *
     * @throws IllegalArgumentException if a component other than {@code model} and {@code adapter} is null, if the
     *     lists differ in length, or if {@code maxTokens} or {@code resumeOffset} is out of range
     */
    public CompletionRequest {
        requireField(requestId, "request_id");
        requireField(weightsDigest, "weights_digest");
        requireField(cacheSalt, "cache_salt");
        requireField(prompt, "prompt");
        requireField(pieceKeys, "piece_keys");
        requireField(pieceTokens, "piece_tokens");
        model = Objects.requireNonNullElse(model, "");
        adapter = Objects.requireNonNullElse(adapter, "");
        pieceKeys = List.copyOf(pieceKeys);
        pieceTokens = List.copyOf(pieceTokens);
        if (pieceKeys.size() != pieceTokens.size()) {
            throw new IllegalArgumentException("piece_keys and piece_tokens differ in length");
        }
        if (maxTokens < 1 || resumeOffset < 0) {
            throw new IllegalArgumentException("max_tokens is less than 1, or resume_offset is negative");
        }
    }

    // -- queries

    /**
     * Returns the length of consecutive blocks.
     *
     * @param from the index of the first block
     * @param to the index after the last block
     * @return the length in tokens
     */
    public int tokens(int from, int to) {
        return pieceTokens.subList(from, to).stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * Returns the length of the prompt.
     *
     * @return the length in tokens
     */
    public int promptTokens() {
        return tokens(0, pieceTokens.size());
    }

    private static void requireField(Object value, String name) {
        if (value == null) {
            throw new IllegalArgumentException(name + " is missing");
        }
    }

    /**
     * The body of a completion request in JSON.
     *
     * @param requestId the identifier of the request
     * @param model the model version; may be null
     * @param weightsDigest the digest of the weights that must serve the request
     * @param cacheSalt the customer that sent the prompt
     * @param adapter the name of the adapter; may be null
     * @param prompt the text of the prompt
     * @param pieceKeys the key of each block of the prompt, in hexadecimal
     * @param pieceTokens the length of each block in tokens
     * @param priority the priority; lower values run first, from 0
     * @param maxTokens the maximum length of the output in tokens, at least 1
     * @param resumeOffset the number of output tokens that are already delivered and not sent again, at least 0
     */
    public record Body(
            String requestId,
            String model,
            String weightsDigest,
            String cacheSalt,
            String adapter,
            String prompt,
            List<String> pieceKeys,
            List<Integer> pieceTokens,
            int priority,
            int maxTokens,
            int resumeOffset) {
        /** Returns the checked request, or throws an {@link IllegalArgumentException} if it is not valid. */
        CompletionRequest toRequest() {
            requireField(pieceKeys, "piece_keys");
            List<BlockKey> keys = pieceKeys.stream().map(BlockKey::ofHex).toList();
            return new CompletionRequest(
                    requestId,
                    model,
                    weightsDigest,
                    cacheSalt,
                    adapter,
                    prompt,
                    keys,
                    pieceTokens,
                    priority,
                    maxTokens,
                    resumeOffset);
        }
    }
}

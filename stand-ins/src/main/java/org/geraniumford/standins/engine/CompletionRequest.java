package org.geraniumford.standins.engine;

import java.util.List;
import java.util.Objects;
import org.geraniumford.core.prefix.BlockKey;

/**
 * The body of a completion request.
 *
 * @param requestId names the request
 * @param model the model version
 * @param weightsDigest the weights that must answer
 * @param cacheSalt the customer
 * @param adapter the adapter; empty if none
 * @param prompt the whole prompt
 * @param pieceKeys the key of each piece
 * @param pieceTokens the tokens of each piece
 * @param priority the rank; 0 is served first
 * @param maxTokens the longest answer, in tokens
 * @param resumeOffset the answer tokens that are not sent again
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
    /** Checks the components and copies the lists. */
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
     * Returns the tokens of a run of pieces.
     *
     * @param from the first piece
     * @param to the piece after the last
     * @return their sum
     */
    public int tokens(int from, int to) {
        return pieceTokens.subList(from, to).stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * Returns the prompt's length.
     *
     * @return tokens
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
     * The request as it is written in JSON.
     *
     * @param requestId names the request
     * @param model the model version
     * @param weightsDigest the weights that must answer
     * @param cacheSalt the customer
     * @param adapter the adapter; may be missing
     * @param prompt the whole prompt
     * @param pieceKeys the key of each piece, in hexadecimal
     * @param pieceTokens the tokens of each piece
     * @param priority the rank; 0 is served first
     * @param maxTokens the longest answer, in tokens
     * @param resumeOffset the answer tokens that are not sent again
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

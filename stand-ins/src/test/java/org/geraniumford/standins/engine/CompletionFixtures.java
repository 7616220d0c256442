package org.geraniumford.standins.engine;

import java.util.List;
import java.util.stream.IntStream;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.standins.http.Json;

/**
 * Completion requests for tests. A prompt consists of the blocks {@code firstBlock} to {@code endBlock - 1}. An output
 * has 4 tokens.
 */
final class CompletionFixtures {
    static final int BLOCK_TOKENS = 100;

    private CompletionFixtures() {}

    static CompletionRequest.Body body(
            String requestId, String customer, String weightsDigest, int firstBlock, int endBlock, int resumeOffset) {
        List<String> keys = IntStream.range(firstBlock, endBlock)
                .mapToObj(CompletionFixtures::keyHex)
                .toList();
        List<Integer> tokens = keys.stream().map(key -> BLOCK_TOKENS).toList();
        return new CompletionRequest.Body(
                requestId,
                "model",
                weightsDigest,
                customer,
                "",
                "prompt " + firstBlock + endBlock,
                keys,
                tokens,
                0,
                4,
                resumeOffset);
    }

    static String json(
            String requestId, String customer, String weightsDigest, int firstBlock, int endBlock, int resumeOffset) {
        return Json.write(body(requestId, customer, weightsDigest, firstBlock, endBlock, resumeOffset));
    }

    static CompletionRequest request(String requestId, int firstBlock, int endBlock, int priority) {
        CompletionRequest request =
                body(requestId, "amahoro", "weights-1", firstBlock, endBlock, 0).toRequest();
        return new CompletionRequest(
                requestId,
                request.model(),
                request.weightsDigest(),
                request.cacheSalt(),
                request.adapter(),
                request.prompt(),
                request.pieceKeys(),
                request.pieceTokens(),
                priority,
                request.maxTokens(),
                0);
    }

    static String keyHex(int blockNumber) {
        return new BlockKey(1, blockNumber).toHex();
    }
}

package org.geraniumford.standins.engine;

import java.util.List;
import java.util.stream.IntStream;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.standins.http.Json;

/** Requests for tests. */
final class CompletionFixtures {
    static final int BLOCK_TOKENS = 100;

    private CompletionFixtures() {}

    static CompletionRequest.Body body(String id, String customer, String weights, int from, int to, int resume) {
        List<String> keys =
                IntStream.range(from, to).mapToObj(CompletionFixtures::keyHex).toList();
        List<Integer> tokens = keys.stream().map(key -> BLOCK_TOKENS).toList();
        return new CompletionRequest.Body(
                id, "model", weights, customer, "", "prompt " + from + to, keys, tokens, 0, 4, resume);
    }

    static String json(String id, String customer, String weights, int from, int to, int resume) {
        return Json.write(body(id, customer, weights, from, to, resume));
    }

    static CompletionRequest request(String id, int from, int to, int priority) {
        CompletionRequest request =
                body(id, "amahoro", "weights-1", from, to, 0).toRequest();
        return new CompletionRequest(
                id,
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

    static String keyHex(int number) {
        return new BlockKey(1, number).toHex();
    }
}

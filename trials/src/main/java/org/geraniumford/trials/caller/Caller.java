package org.geraniumford.trials.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Sends requests to one entry with the API key of one customer. */
public final class Caller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration HEADERS_TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient client;
    private final String entryAddress;
    private final String apiKey;

    private Caller(HttpClient client, String entryAddress, String apiKey) {
        this.client = client;
        this.entryAddress = entryAddress;
        this.apiKey = apiKey;
    }

    // -- construction

    /**
     * Creates a caller.
     *
     * @param entryAddress the host and port on which the entry accepts callers
     * @param apiKey the customer's API key
     * @return a caller
     */
    public static Caller of(String entryAddress, String apiKey) {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        return new Caller(client, entryAddress, apiKey);
    }

    // -- commands

    /**
     * Requests a streamed chat completion and reads the response to its end.
     *
     * @param model the model's name
     * @param levels the consecutive parts of the prompt, each sent as one user message; the last one is the question
     * @param maxTokens the largest number of tokens to generate
     * @return completes with the response when the stream has ended; completes exceptionally if the entry cannot be
     *     reached or sends no response headers within 60 s
     */
    public CompletableFuture<ModelResponse> stream(String model, List<String> levels, int maxTokens) {
        return stream(model, levels, maxTokens, requestId -> {});
    }

    /**
     * Requests a streamed chat completion and reads the response to its end.
     *
     * @param model the model's name
     * @param levels the consecutive parts of the prompt, each sent as one user message; the last one is the question
     * @param maxTokens the largest number of tokens to generate
     * @param onFirstToken receives the request's identifier, or an empty string if the response has none, when the
     *     first text arrives
     * @return completes with the response when the stream has ended; completes exceptionally if the entry cannot be
     *     reached or sends no response headers within 60 s
     */
    public CompletableFuture<ModelResponse> stream(
            String model, List<String> levels, int maxTokens, Consumer<String> onFirstToken) {
        long sentNanos = System.nanoTime();
        HttpRequest request = newRequest("/v1/chat/completions")
                .POST(HttpRequest.BodyPublishers.ofString(chatBody(model, levels, maxTokens)))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofLines())
                .thenApplyAsync(response -> readResponse(response, sentNanos, onFirstToken));
    }

    /**
     * Calls a plain service.
     *
     * @param service the service's name
     * @param method the HTTP method
     * @param path the path on the service, beginning with {@code /}
     * @param idempotencyKey the idempotency key; empty for none
     * @param body the body; empty for none
     * @return completes with the response when its whole body has arrived; completes exceptionally if the entry cannot
     *     be reached, sends no response headers within 60 s, or the connection breaks before the end of the body
     */
    public CompletableFuture<HttpResponse<String>> call(
            String service, String method, String path, String idempotencyKey, String body) {
        HttpRequest.Builder requestBuilder =
                newRequest("/services/" + service + path).method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!idempotencyKey.isEmpty()) {
            requestBuilder.header("Idempotency-Key", idempotencyKey);
        }
        return client.sendAsync(requestBuilder.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder newRequest(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + entryAddress + path))
                .timeout(HEADERS_TIMEOUT)
                .header("Authorization", "Bearer " + apiKey)
                .header("Content-Type", "application/json");
    }

    private static String chatBody(String model, List<String> levels, int maxTokens) {
        ObjectNode body =
                JSON.createObjectNode().put("model", model).put("stream", true).put("max_tokens", maxTokens);
        ArrayNode messages = body.putArray("messages");
        levels.forEach(level -> messages.addObject().put("role", "user").put("content", level));
        return body.toString();
    }

    private static ModelResponse readResponse(
            HttpResponse<Stream<String>> response, long sentNanos, Consumer<String> onFirstToken) {
        String requestId = response.headers().firstValue("X-Request-Id").orElse("");
        ModelResponse.Builder builder =
                new ModelResponse.Builder(response.statusCode(), sentNanos, () -> onFirstToken.accept(requestId));
        try (Stream<String> lines = response.body()) {
            lines.filter(line -> !line.isBlank()).forEach(line -> addLine(builder, line));
        } catch (UncheckedIOException e) {
            // The connection broke, or a line is not JSON.
            builder.markTruncated();
        }
        return builder.build();
    }

    private static void addLine(ModelResponse.Builder builder, String line) {
        // The body of an error response is a line of JSON without the prefix of an event.
        String data = line.startsWith("data: ") ? line.substring("data: ".length()) : line;
        if (data.equals("[DONE]")) {
            builder.markComplete();
            return;
        }
        builder.addEvent(parse(data), System.nanoTime());
    }

    private static JsonNode parse(String data) {
        try {
            return JSON.readTree(data);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

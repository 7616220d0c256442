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

/** Sends requests of one customer to one entry. */
public final class Caller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient client;
    private final String entryAddress;
    private final String apiKey;

    private Caller(HttpClient client, String entry, String key) {
        this.client = client;
        this.entryAddress = entry;
        this.apiKey = key;
    }

    // -- construction

    /**
     * Creates a caller.
     *
     * @param entry the entry's caller address, host and port
     * @param key the customer's API key
     * @return a caller
     */
    public static Caller of(String entry, String key) {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        return new Caller(client, entry, key);
    }

    // -- commands

    /**
     * Sends a streamed chat completion and reads the answer to its end.
     *
     * @param model the model's name
     * @param levels the prompt's levels; the last one is the question
     * @param maxTokens the longest answer, in tokens
     * @return what came
     */
    public CompletableFuture<ModelResponse> stream(String model, List<String> levels, int maxTokens) {
        return stream(model, levels, maxTokens, requestId -> {});
    }

    /**
     * Sends a streamed chat completion and reads the answer to its end.
     *
     * @param model the model's name
     * @param levels the prompt's levels; the last one is the question
     * @param maxTokens the longest answer, in tokens
     * @param onFirstToken called with the request's identifier when the first text arrives
     * @return what came
     */
    public CompletableFuture<ModelResponse> stream(
            String model, List<String> levels, int maxTokens, Consumer<String> onFirstToken) {
        long sent = System.nanoTime();
        HttpRequest request = request("/v1/chat/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body(model, levels, maxTokens)))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofLines())
                .thenApplyAsync(response -> readResponse(response, sent, onFirstToken));
    }

    /**
     * Calls a plain service.
     *
     * @param service the service's name
     * @param method the HTTP method
     * @param path the path on the service, from {@code /}
     * @param idempotencyKey the idempotency key; empty for none
     * @param body the body; empty for none
     * @return the answer
     */
    public CompletableFuture<HttpResponse<String>> call(
            String service, String method, String path, String idempotencyKey, String body) {
        HttpRequest.Builder request =
                request("/services/" + service + path).method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!idempotencyKey.isEmpty()) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + entryAddress + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + apiKey)
                .header("Content-Type", "application/json");
    }

    private static String body(String model, List<String> levels, int maxTokens) {
        ObjectNode body =
                JSON.createObjectNode().put("model", model).put("stream", true).put("max_tokens", maxTokens);
        ArrayNode messages = body.putArray("messages");
        levels.forEach(level -> messages.addObject().put("role", "user").put("content", level));
        return body.toString();
    }

    private static ModelResponse readResponse(
            HttpResponse<Stream<String>> response, long sent, Consumer<String> onFirstToken) {
        String requestId = response.headers().firstValue("X-Request-Id").orElse("");
        ModelResponse.Builder reader =
                new ModelResponse.Builder(response.statusCode(), sent, () -> onFirstToken.accept(requestId));
        try (Stream<String> lines = response.body()) {
            lines.filter(line -> !line.isBlank()).forEach(line -> readLine(reader, line));
        } catch (UncheckedIOException e) {
            reader.markTruncated();
        }
        return reader.build();
    }

    private static void readLine(ModelResponse.Builder reader, String line) {
        String data = line.startsWith("data: ") ? line.substring("data: ".length()) : line;
        if (data.equals("[DONE]")) {
            reader.markComplete();
            return;
        }
        reader.addEvent(parse(data), System.nanoTime());
    }

    private static JsonNode parse(String data) {
        try {
            return JSON.readTree(data);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

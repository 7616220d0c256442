package org.geraniumford.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * An HTTP/1.1 client of a stand-in. A call whose connection fails gets the status {@link #CONNECTION_LOST} and an empty
 * body.
 *
 * @param baseUri the base URI of the stand-in
 */
public record StandInClient(URI baseUri) {
    /** The status of a call whose connection failed before the response was complete. */
    public static final int CONNECTION_LOST = 0;

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Sends a request and waits for its response. */
    public Response call(String method, String path, String body) {
        HttpRequest request = request(method, path, body);
        try {
            HttpResponse<String> response = CLIENT.send(request, BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Response(CONNECTION_LOST, "");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a GET request and waits for its response. */
    public Response get(String path) {
        return call("GET", path, "");
    }

    /** Sends a POST request and waits for its response. */
    public Response post(String path, String body) {
        return call("POST", path, body);
    }

    /** Sends a POST request and returns the future response. */
    public CompletableFuture<Response> postAsync(String path, String body) {
        return CLIENT.sendAsync(request("POST", path, body), BodyHandlers.ofString())
                .thenApply(response -> new Response(response.statusCode(), response.body()))
                .exceptionally(failure -> new Response(CONNECTION_LOST, ""));
    }

    /** Opens a stream of server-sent events; closing it closes the connection. */
    public Stream<JsonNode> events(String path) {
        try {
            return CLIENT.send(request("GET", path, ""), BodyHandlers.ofLines())
                    .body()
                    .filter(line -> !line.isEmpty())
                    .map(line -> parse(line.substring("data: ".length())));
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private HttpRequest request(String method, String path, String body) {
        return HttpRequest.newBuilder(baseUri.resolve(path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private static JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(json, e);
        }
    }

    /** The HTTP status, or {@link #CONNECTION_LOST}, and the body of a response. */
    public record Response(int status, String body) {
        /** Returns the body as JSON. */
        public JsonNode json() {
            return parse(body);
        }

        /** Returns the server-sent events in the body. */
        public List<JsonNode> events() {
            return body.lines()
                    .filter(line -> !line.isEmpty())
                    .map(line -> parse(line.substring("data: ".length())))
                    .toList();
        }
    }
}

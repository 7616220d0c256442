package org.geraniumford.trials.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/**
 * A client of an engine stand-in that reads its counters and sets its faults. It does not check the status of
 * responses.
 *
 * @param address the engine's host and port
 */
record EngineAdminClient(String address) {
    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns the engine's counters since its process started; those that the response lacks are 0. */
    FleetCounters counters() throws IOException {
        JsonNode counters = JSON.readTree(send("GET", "/state", "")).path("counters");
        return new FleetCounters(
                counters.path("hit_pieces").asLong(),
                counters.path("computed_pieces").asLong(),
                counters.path("recomputed_pieces").asLong(),
                counters.path("leaks").asLong());
    }

    /** Changes the faults that are named in a JSON object in snake case, such as {@code {"event_loss":0.1}}. */
    void setFaults(String json) throws IOException {
        send("POST", "/faults", json);
    }

    private String send(String method, String path, String body) throws IOException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the engine's response", e);
        }
    }
}

package org.geraniumford.trials.deployment;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;

/** A client of the platform stand-in that registers hosts and sets faults. */
public final class PlatformAdminClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private final String baseUrl;

    private PlatformAdminClient(String baseUrl) {
        this.baseUrl = baseUrl;
    }

    // -- construction

    /**
     * Creates a client.
     *
     * @param baseUrl the platform's base URL, without a slash at its end
     * @return a client of that platform
     */
    public static PlatformAdminClient of(String baseUrl) {
        return new PlatformAdminClient(baseUrl);
    }

    // -- commands

    /**
     * Adds a host to the platform's list, or replaces its row.
     *
     * @param name the host's name
     * @param kind {@code entry}, {@code runner} or {@code service}
     * @param linkAddress the host and port on which its daemon accepts links
     * @param failureDomain the host's failure domain
     * @param state {@code live} or {@code leaving}
     * @throws IOException if the platform cannot be reached, returns a status of 300 or more, or the waiting thread is
     *     interrupted
     */
    public void putHost(String name, String kind, String linkAddress, String failureDomain, String state)
            throws IOException {
        Map<String, String> body = Map.of(
                "name", name, "kind", kind, "address", linkAddress, "failure_domain", failureDomain, "state", state);
        send("PUT", "/hosts/" + name, JSON.writeValueAsString(body));
    }

    /**
     * Changes the faults that the platform injects.
     *
     * @param json the faults to change, as a JSON object in snake case, such as {@code {"outage":true}}; faults that it
     *     does not name stay as they are
     * @throws IOException if the platform cannot be reached, returns a status of 300 or more, or the waiting thread is
     *     interrupted
     */
    public void setFaults(String json) throws IOException {
        send("POST", "/faults", json);
    }

    private void send(String method, String path, String body) throws IOException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(baseUrl + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() >= 300) {
                throw new IOException(
                        method + " " + path + " returned status " + response.statusCode() + ": " + response.body());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the platform's response", e);
        }
    }
}

package org.geraniumford.trials.deployment;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;

/** Controls the platform stand-in: registers hosts and sets faults. */
public final class PlatformAdminClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private final String baseUrl;

    private PlatformAdminClient(String address) {
        this.baseUrl = address;
    }

    // -- construction

    /**
     * Creates a control.
     *
     * @param address the platform's base address
     * @return a control of that platform
     */
    public static PlatformAdminClient of(String address) {
        return new PlatformAdminClient(address);
    }

    // -- commands

    /**
     * Puts a host on the platform's list.
     *
     * @param name the host's name
     * @param kind {@code entry}, {@code runner} or {@code service}
     * @param link the link address of its daemon
     * @param failureDomain its failure domain
     * @param state {@code live} or {@code leaving}
     * @throws IOException if the platform refuses
     */
    public void putHost(String name, String kind, String link, String failureDomain, String state) throws IOException {
        Map<String, String> body =
                Map.of("name", name, "kind", kind, "address", link, "failure_domain", failureDomain, "state", state);
        send("PUT", "/hosts/" + name, JSON.writeValueAsString(body));
    }

    /**
     * Sets the platform's faults.
     *
     * @param json the switches
     * @throws IOException if the platform refuses
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
                        method + " " + path + " answered " + response.statusCode() + ": " + response.body());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}

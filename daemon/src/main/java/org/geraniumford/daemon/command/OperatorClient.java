package org.geraniumford.daemon.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.geraniumford.daemon.operator.ProcessStatus;
import org.geraniumford.transport.engine.BoundedResponseHandler;
import org.geraniumford.transport.response.StrictClientCodec;

/**
 * Sends requests to the operator ports of processes. A request fails with a {@link CommandException} if there is no
 * response within 5 s, or if the response's status is 500 or more. The HTTP client itself enforces the 5 s; should it
 * fail to, the command stops waiting after 10 s.
 */
final class OperatorClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final AsyncHttpClient http;
    private final ObjectMapper mapper = new ObjectMapper();

    private OperatorClient(AsyncHttpClient http) {
        this.http = http;
    }

    static OperatorClient open() {
        return new OperatorClient(Dsl.asyncHttpClient(Dsl.config()
                .setConnectTimeout(TIMEOUT)
                .setRequestTimeout(TIMEOUT)
                .setMaxRequestRetry(0)
                .setHttpAdditionalChannelInitializer(StrictClientCodec::install)
                .setIoThreadsCount(1)));
    }

    // -- queries

    /** Returns the status of a process. */
    ProcessStatus status(InetSocketAddress address) throws CommandException {
        try {
            return mapper.readValue(sendRequest("GET", address, "/status").getResponseBody(), ProcessStatus.class);
        } catch (JsonProcessingException e) {
            throw CommandException.failed(formatAddress(address) + ": the response is not a status");
        }
    }

    /** Returns the JSON explanation of a request; null if the process has no record of it. */
    String explain(InetSocketAddress address, String requestId) throws CommandException {
        Response response = sendRequest("GET", address, "/explain/" + requestId);
        return response.getStatusCode() == 404 ? null : response.getResponseBody();
    }

    // -- commands

    /** Starts the drain of a process, which refuses new work from then on. */
    void drain(InetSocketAddress address) throws CommandException {
        sendRequest("POST", address, "/drain");
    }

    @Override
    public void close() throws CommandException {
        try {
            http.close();
        } catch (java.io.IOException e) {
            throw CommandException.failed("cannot close the connections: " + e.getMessage());
        }
    }

    private Response sendRequest(String method, InetSocketAddress address, String path) throws CommandException {
        String url = "http://" + formatAddress(address) + path;
        try {
            Response response = http.prepare(method, url)
                    .execute(new BoundedResponseHandler())
                    .get(TIMEOUT.toMillis() * 2, TimeUnit.MILLISECONDS);
            if (response.getStatusCode() >= 500) {
                throw CommandException.failed(formatAddress(address) + ": status " + response.getStatusCode());
            }
            return response;
        } catch (ExecutionException e) {
            throw CommandException.failed(formatAddress(address) + ": no response: "
                    + e.getCause().getMessage().lines().findFirst().orElse(""));
        } catch (TimeoutException e) {
            throw CommandException.failed(
                    formatAddress(address) + ": no response within " + TIMEOUT.toSeconds() * 2 + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw CommandException.failed("interrupted");
        }
    }

    static String formatAddress(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}

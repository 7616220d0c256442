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

/** Asks processes at their operator ports. */
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
                .setIoThreadsCount(1)));
    }

    // -- queries

    /** Returns the state of a process. */
    ProcessStatus status(InetSocketAddress process) throws CommandException {
        try {
            return mapper.readValue(sendRequest("GET", process, "/status").getResponseBody(), ProcessStatus.class);
        } catch (JsonProcessingException e) {
            throw CommandException.failed(formatAddress(process) + ": the answer is not a status");
        }
    }

    /** Returns the JSON explanation of a request; null if the process has no record of it. */
    String explain(InetSocketAddress process, String requestId) throws CommandException {
        Response response = sendRequest("GET", process, "/explain/" + requestId);
        return response.getStatusCode() == 404 ? null : response.getResponseBody();
    }

    // -- commands

    /** Tells a process to take no new work. */
    void drain(InetSocketAddress process) throws CommandException {
        sendRequest("POST", process, "/drain");
    }

    @Override
    public void close() throws CommandException {
        try {
            http.close();
        } catch (java.io.IOException e) {
            throw CommandException.failed("cannot close the connections: " + e.getMessage());
        }
    }

    private Response sendRequest(String method, InetSocketAddress process, String path) throws CommandException {
        String url = "http://" + formatAddress(process) + path;
        try {
            Response response = http.prepare(method, url).execute().get(TIMEOUT.toMillis() * 2, TimeUnit.MILLISECONDS);
            if (response.getStatusCode() >= 500) {
                throw CommandException.failed(formatAddress(process) + ": status " + response.getStatusCode());
            }
            return response;
        } catch (ExecutionException e) {
            throw CommandException.failed(formatAddress(process) + ": no answer: "
                    + e.getCause().getMessage().lines().findFirst().orElse(""));
        } catch (TimeoutException e) {
            throw CommandException.failed(
                    formatAddress(process) + ": no answer within " + TIMEOUT.toSeconds() * 2 + " s");
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

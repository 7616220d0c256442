package org.geraniumford.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.geraniumford.transport.metrics.ReasonCounters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OperatorServerTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AsyncHttpClient client = Dsl.asyncHttpClient();
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final FakeProcess process = new FakeProcess();
    private OperatorServer server;

    @BeforeEach
    void start() {
        ReasonCounters.of(registry);
        server = OperatorServer.start(
                        group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), registry, process)
                .join();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        server.close();
        group.shutdownGracefully(0, 5, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Response sendRequest(String method, String path) {
        return client.prepare(method, "http://127.0.0.1:" + server.address().getPort() + path)
                .execute()
                .toCompletableFuture()
                .join();
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /health, 200, healthy",
        "GET, /ready, 200, true",
        "GET, /metrics, 200, geraniumford_refusals_total",
        "GET, /status, 200, kigali-a",
        "GET, /explain/r-1, 200, candidates",
        "GET, /explain/r-2, 404, unknown_request",
        "GET, /explain/, 404, unknown_path",
        "GET, /drain, 405, method_not_allowed",
        "POST, /status, 405, method_not_allowed",
        "GET, /nothing, 404, unknown_path"
    })
    void shouldReturnTheStatusAndBodyOfTheRouteWhenAPathIsRequested(
            String method, String path, int status, String expected) {
        Response response = sendRequest(method, path);
        assertThat(response.getStatusCode()).isEqualTo(status);
        assertThat(response.getResponseBody()).contains(expected);
    }

    @Test
    void shouldReturnNotReadyWhenDraining() {
        assertThat(sendRequest("POST", "/drain").getStatusCode()).isEqualTo(202);
        assertThat(sendRequest("GET", "/ready").getStatusCode()).isEqualTo(503);
    }

    @Test
    void shouldReturnAnInternalErrorWhenTheProcessFailsToReportItsStatus() {
        process.failing = true;
        assertThat(sendRequest("GET", "/status").getStatusCode()).isEqualTo(500);
        assertThat(sendRequest("GET", "/health").getStatusCode()).isEqualTo(200);
    }

    private static final class FakeProcess implements ManagedProcess {
        private volatile boolean draining;
        private volatile boolean failing;

        @Override
        public boolean isReady() {
            return !draining;
        }

        @Override
        public ProcessStatus status() {
            if (failing) {
                throw new IllegalStateException("no state");
            }
            return new ProcessStatus("entry-1", "entry", "kigali-a", 1, isReady(), draining, 7, 0, 0, 0, List.of());
        }

        @Override
        public Optional<String> explain(String requestId) {
            return requestId.equals("r-1") ? Optional.of("{\"candidates\":[]}") : Optional.empty();
        }

        @Override
        public CompletableFuture<Void> drain() {
            draining = true;
            return CompletableFuture.completedFuture(null);
        }
    }
}

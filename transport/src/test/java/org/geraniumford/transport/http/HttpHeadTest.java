package org.geraniumford.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.verdict.Reason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes on a connection of {@link HttpServer} that are no response to one of its requests. */
final class HttpHeadTest {
    private static final HttpLimits LIMITS = new HttpLimits(1000, 2000, 100, HttpLimits.DEFAULT_REQUEST_TIMEOUT);
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final String LAST_REQUEST = "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n";
    private static final String LAST_RESPONSE =
            "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nconnection: close\r\ncontent-length: 4\r\n\r\ntext";

    private EventLoopGroup group;
    private HttpServer server;

    @BeforeEach
    void start() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = HttpServer.start(group, anyPort, LIMITS, new PathService()).join();
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Responds with a text, a stream, or two responses, as the path says. */
    private static final class PathService implements HttpService {
        @Override
        public void handle(HttpExchange exchange) {
            switch (exchange.path()) {
                case "/stream" -> {
                    exchange.startEvents(Map.of());
                    exchange.sendEvent("1");
                    exchange.endEvents();
                }
                case "/second-head" -> {
                    exchange.startEvents(Map.of());
                    exchange.sendEvent("1");
                    respond(exchange, 500);
                }
                case "/second-response" -> {
                    respond(exchange, 200);
                    respond(exchange, 500);
                }
                case "/404" -> respond(exchange, 404);
                default -> respond(exchange, 200);
            }
        }

        @Override
        public void requestUnreadable(HttpExchange exchange, Reason reason) {
            respond(exchange, reason.status());
        }

        private static void respond(HttpExchange exchange, int status) {
            exchange.respond(status, "text/plain", "text", Map.of());
        }
    }

    /** Sends requests on one connection, and returns all that comes back until the connection ends. */
    private String send(String requests) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(server.address());
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    // -- HEAD

    @ParameterizedTest
    @ValueSource(strings = {"/", "/404", "/stream"})
    void shouldSendOnlyTheHeadWhenTheMethodIsHead(String path) throws IOException {
        String received = send("HEAD " + path + " HTTP/1.1\r\n\r\n" + LAST_REQUEST);
        assertThat(received.substring(received.indexOf("\r\n\r\n") + 4)).isEqualTo(LAST_RESPONSE);
    }

    @Test
    void shouldSendOnlyTheHeadWhenAHeadRequestAsksWhetherToSendItsBody() throws IOException {
        String received =
                send("HEAD /404 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx" + LAST_REQUEST);
        String afterContinue = received.substring(received.indexOf("\r\n\r\n") + 4);
        assertThat(received).startsWith("HTTP/1.1 100 ");
        assertThat(afterContinue).startsWith("HTTP/1.1 404 ");
        assertThat(afterContinue.substring(afterContinue.indexOf("\r\n\r\n") + 4))
                .isEqualTo(LAST_RESPONSE);
    }

    @Test
    void shouldSendTheBodyOfARequestThatAskedWhetherToSendItsBodyWhenHeadFollows() throws IOException {
        String received = send("POST /404 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx"
                + "HEAD /404 HTTP/1.1\r\n\r\n" + LAST_REQUEST);
        assertThat(received).containsOnlyOnce("\r\n\r\ntextHTTP/1.1 404").endsWith("\r\n\r\n" + LAST_RESPONSE);
    }

    @Test
    void shouldSendOnlyTheHeadWhenTheBodyIsTooLarge() throws IOException {
        assertThat(send("HEAD / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + "x".repeat(1001)))
                .startsWith("HTTP/1.1 413 ")
                .endsWith("\r\n\r\n");
    }

    @ParameterizedTest
    @CsvSource({"/, 200", "/404, 404", "/stream, 200"})
    void shouldSendOnlyTheHeadOverHttp2(String path, int status) throws Exception {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
        HttpResponse<String> response = client.send(
                HttpRequest.newBuilder(URI.create(
                                "http://127.0.0.1:" + server.address().getPort() + path))
                        .timeout(Duration.ofMillis(TIMEOUT_MILLIS))
                        .method("HEAD", HttpRequest.BodyPublishers.noBody())
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        assertThat(response.version()).isEqualTo(HttpClient.Version.HTTP_2);
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.body()).isEmpty();
    }

    // -- a second response

    @Test
    void shouldCutAStreamOffWhenASecondHeadFollows() throws IOException {
        assertThat(send("GET /second-head HTTP/1.1\r\n\r\n"))
                .endsWith("data: 1\n\n\r\n")
                .containsOnlyOnce("HTTP/1.1");
    }

    @Test
    void shouldSendOnlyTheFirstOfTwoResponses() throws IOException {
        assertThat(send("GET /second-response HTTP/1.1\r\n\r\n" + LAST_REQUEST))
                .endsWith("\r\n\r\ntext" + LAST_RESPONSE)
                .doesNotContain("HTTP/1.1 500");
    }
}

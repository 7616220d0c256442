package org.geraniumford.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.verdict.Reason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

final class HttpServerTest {
    private static final HttpLimits LIMITS = new HttpLimits(1000, 2000, 100, HttpLimits.DEFAULT_REQUEST_TIMEOUT);
    private static final int TIMEOUT_SECONDS = 30;

    private final CompletableFuture<Void> callerDisconnected = new CompletableFuture<>();
    private EventLoopGroup group;
    private HttpServer server;

    @BeforeEach
    void start() {
        group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = HttpServer.start(group, address, LIMITS, new EchoService()).join();
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    // -- complete responses

    @ParameterizedTest
    @EnumSource(HttpClient.Version.class)
    void shouldRespondWithTheSameVersionWhenTheCallerUsesHttp1OrHttp2(HttpClient.Version version) throws Exception {
        HttpResponse<String> response = client(version).send(post("/echo", "muraho"), text());
        assertThat(response.body()).isEqualTo("POST /echo muraho");
        assertThat(response.version()).isEqualTo(version);
    }

    @ParameterizedTest
    @EnumSource(HttpClient.Version.class)
    void shouldRespondWithTheReasonWhenTheBodyIsTooLarge(HttpClient.Version version) throws Exception {
        HttpResponse<String> response = client(version).send(post("/echo", "x".repeat(1001)), text());
        assertThat(response.statusCode()).isEqualTo(Reason.BODY_TOO_LARGE.status());
        assertThat(response.body()).isEqualTo("BODY_TOO_LARGE");
    }

    /** Guards against resetting the connection of a caller that still sends, which then loses the response. */
    @Test
    void shouldDeliverTheResponseWhenTheCallerStillSendsABodyThatIsTooLarge() throws Exception {
        try (Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
            byte[] part = "x".repeat(100_000).getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream()
                    .write("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n"
                            .getBytes(StandardCharsets.UTF_8));
            for (int i = 0; i < 3; i++) {
                socket.getOutputStream().write(part);
                Thread.sleep(50);
            }
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response).startsWith("HTTP/1.1 413").endsWith("BODY_TOO_LARGE");
        }
    }

    // -- streamed responses

    @ParameterizedTest
    @EnumSource(HttpClient.Version.class)
    void shouldSendAllEventsInOrderWhenTheResponseIsStreamed(HttpClient.Version version) throws Exception {
        HttpResponse<String> response = client(version).send(post("/events", "3"), text());
        assertThat(response.body()).isEqualTo("data: 0\n\ndata: 1\n\ndata: 2\n\n");
    }

    @Test
    void shouldNotifyTheServiceWhenTheCallerDisconnects() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
            assertThat(socket.getInputStream().read()).isEqualTo('H');
        }
        callerDisconnected.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    // -- malformed, oversized and pipelined requests

    @ParameterizedTest
    @CsvSource({
        "'GET /echo HTTP/9.x\r\n\r\n', MALFORMED_REQUEST",
        "'nonsense\r\n\r\n', MALFORMED_REQUEST",
        "'POST /echo HTTP/1.1\r\nContent-Length: -4\r\n\r\n', MALFORMED_REQUEST"
    })
    void shouldRespondWithTheReasonWhenTheRequestIsMalformed(String request, String reason) throws IOException {
        try (Socket socket = connect()) {
            send(socket, request);
            assertThat(readAll(socket)).endsWith(reason);
        }
        assertStillServing();
    }

    @Test
    void shouldRespondWithTheReasonWhenTheHeaderFieldsAreTooLarge() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "GET /echo HTTP/1.1\r\nX: " + "y".repeat(3000) + "\r\n\r\n");
            assertThat(readAll(socket)).endsWith("HEADER_TOO_LARGE");
        }
        assertStillServing();
    }

    /** Guards against callers whose head or body does not end, however slowly its bytes arrive. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "P",
                "GET /echo HTTP/1.1\r\nX-Slow: ",
                "POST /echo HTTP/1.1\r\nContent-Length: 999\r\n\r\n",
                "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "GET /echo HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET /echo HTTP/1.1\r\n"
            })
    void shouldCloseAConnectionWhoseRequestDoesNotEndInTime(String start) throws Exception {
        HttpLimits impatient = new HttpLimits(1000, 2000, 100, Duration.ofMillis(300));
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (HttpServer slowCallers = HttpServer.start(group, anyPort, impatient, new EchoService())
                        .join();
                Socket socket = new Socket()) {
            socket.connect(slowCallers.address());
            send(socket, start);
            assertThat(isClosedWhileBytesAreSent(socket)).isTrue();
        }
    }

    /** Sends a byte every 50 ms, and returns whether the connection is closed within 10 s. */
    private static boolean isClosedWhileBytesAreSent(Socket socket) throws IOException {
        socket.setSoTimeout(50);
        for (int i = 0; i < 200; i++) {
            try {
                if (socket.getInputStream().read() < 0) {
                    return true;
                }
            } catch (SocketTimeoutException e) {
                socket.getOutputStream().write('1');
            } catch (SocketException e) {
                return true;
            }
        }
        return false;
    }

    @Test
    void shouldKeepAConnectionOpenWhenItsRequestsWereReadInTime() throws Exception {
        HttpLimits impatient = new HttpLimits(1000, 2000, 100, Duration.ofMillis(100));
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (HttpServer server = HttpServer.start(group, anyPort, impatient, new EchoService())
                        .join();
                Socket socket = new Socket()) {
            socket.connect(server.address());
            send(socket, "GET /first HTTP/1.1\r\n\r\n");
            Thread.sleep(300);
            send(socket, "GET /second HTTP/1.1\r\nConnection: close\r\n\r\n");
            assertThat(readAll(socket)).containsSubsequence("GET /first", "GET /second");
        }
    }

    @Test
    void shouldRespondInOrderWhenRequestsArePipelined() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
            assertThat(readAll(socket)).containsSubsequence("GET /a", "GET /b");
        }
    }

    // -- support

    private final class EchoService implements HttpService {
        @Override
        public void handle(HttpExchange exchange) {
            switch (exchange.path()) {
                case "/events" -> stream(exchange);
                case "/wait" -> {
                    exchange.onClosed(() -> callerDisconnected.complete(null));
                    exchange.startEvents(Map.of());
                }
                default ->
                    exchange.respond(
                            200,
                            "text/plain",
                            exchange.method()
                                    + ' '
                                    + exchange.uri()
                                    + ' '
                                    + exchange.bodyText().orElse("?"),
                            Map.of());
            }
        }

        @Override
        public void requestUnreadable(HttpExchange exchange, Reason reason) {
            exchange.respond(reason.status(), "text/plain", reason.name(), Map.of());
        }

        private void stream(HttpExchange exchange) {
            exchange.startEvents(Map.of());
            int events = Integer.parseInt(exchange.bodyText().orElseThrow());
            for (int i = 0; i < events; i++) {
                exchange.sendEvent(Integer.toString(i));
            }
            exchange.endEvents();
        }
    }

    private void assertStillServing() {
        HttpResponse<String> response = client(HttpClient.Version.HTTP_1_1)
                .sendAsync(post("/echo", "again"), text())
                .join();
        assertThat(response.statusCode()).isEqualTo(200);
    }

    private static HttpClient client(HttpClient.Version version) {
        return HttpClient.newBuilder().version(version).build();
    }

    private static HttpResponse.BodyHandler<String> text() {
        return HttpResponse.BodyHandlers.ofString();
    }

    private HttpRequest post(String path, String body) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + server.address().getPort() + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private Socket connect() throws IOException {
        Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort());
        socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
        return socket;
    }

    private static void send(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readAll(Socket socket) throws IOException {
        try (InputStream in = socket.getInputStream()) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}

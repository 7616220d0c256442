package org.geraniumford.transport.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.service.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes on a caller's connection that are no response to one of its requests. */
final class CallerResponseTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final String LAST_RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nconnection: close\r\n\r\nlast";
    private static final String LAST_REQUEST = "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private CallerServer server;

    @BeforeEach
    void start() {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = CallerServer.start(
                        group, anyPort, () -> CallerLimits.DEFAULT, CallerResponseTest::handle, status -> {})
                .join();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // -- handler

    private static void handle(CallerExchange exchange) {
        String path = exchange.request().uri();
        exchange.release();
        switch (path) {
            case "/stream" -> {
                exchange.begin(head(HttpResponseStatus.OK));
                exchange.writeContent(buffer("one"));
                exchange.writeContent(buffer("two"));
                exchange.end();
            }
            case "/second-head" -> {
                exchange.begin(head(HttpResponseStatus.OK));
                exchange.writeContent(buffer("one"));
                exchange.respond(response(500, "failed"));
            }
            case "/second-stream" -> {
                exchange.begin(head(HttpResponseStatus.OK));
                exchange.writeContent(buffer("one"));
                exchange.begin(head(HttpResponseStatus.OK));
                exchange.writeContent(buffer("two"));
                exchange.end();
            }
            case "/second-response" -> {
                exchange.respond(response(200, "first"));
                exchange.respond(response(500, "failed"));
                exchange.writeContent(buffer("two"));
                exchange.end();
            }
            case "/last" -> exchange.respond(response(200, "last"));
            default -> exchange.respond(response(Integer.parseInt(path.substring(1)), "text"));
        }
    }

    private static HttpResponse head(HttpResponseStatus status) {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    }

    private static FullHttpResponse response(int status, String body) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), buffer(body));
    }

    private static ByteBuf buffer(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    // -- caller

    /** Sends requests on one connection, and returns all that comes back until the connection ends. */
    private String send(String requests) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(server.address());
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /**
     * Sends a request and a GET on one connection, and returns the head of the first response if nothing follows it.
     */
    private String headBeforeLastResponse(String request) throws IOException {
        String received = send(request + LAST_REQUEST);
        assertThat(received).endsWith(LAST_RESPONSE);
        String first = received.substring(0, received.length() - LAST_RESPONSE.length());
        assertThat(first.indexOf("\r\n\r\n")).as("the end of the head").isEqualTo(first.length() - 4);
        return first;
    }

    // -- responses without a body

    @ParameterizedTest
    @CsvSource({
        "200, content-length: 4",
        "401, content-length: 4",
        "404, content-length: 4",
        "413, content-length: 4",
        "503, content-length: 4",
        "204, 204",
        "205, content-length: 0",
        "304, content-length: 4",
        "stream, 200"
    })
    void shouldSendOnlyTheHeadWhenTheMethodIsHead(String path, String part) throws IOException {
        String head = headBeforeLastResponse("HEAD /" + path + " HTTP/1.1\r\n\r\n");
        assertThat(head).startsWith("HTTP/1.1 ").contains(part).doesNotContain("transfer-encoding");
    }

    @ParameterizedTest
    @CsvSource({"204, 204", "205, content-length: 0", "304, content-length: 4"})
    void shouldSendOnlyTheHeadWhenTheStatusAllowsNoBody(String path, String part) throws IOException {
        assertThat(headBeforeLastResponse("GET /" + path + " HTTP/1.1\r\n\r\n"))
                .contains(part)
                .doesNotContain("transfer-encoding");
    }

    /** A method is case-sensitive, and only HEAD has responses without a body. */
    @Test
    void shouldSendTheBodyWhenTheMethodIsNotHead() throws IOException {
        assertThat(send("head /200 HTTP/1.1\r\n\r\n" + LAST_REQUEST)).endsWith("\r\n\r\ntext" + LAST_RESPONSE);
    }

    @Test
    void shouldSendTheWholeStreamWhenTheMethodIsNotHead() throws IOException {
        assertThat(send("GET /stream HTTP/1.1\r\n\r\n" + LAST_REQUEST))
                .endsWith("\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n" + LAST_RESPONSE);
    }

    @Test
    void shouldAskForTheBodyOfARequestAndRespondWithoutOneWhenTheMethodIsHead() throws IOException {
        String received =
                send("HEAD /404 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx" + LAST_REQUEST);
        assertThat(received)
                .isEqualTo("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\ncontent-length: 4\r\n\r\n"
                        + LAST_RESPONSE);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 999999999", "Content-Length: x", "Content-Length: 1\r\nContent-Length: 2"})
    void shouldSendOnlyTheHeadWhenARequestIsMalformedOrTooLarge(String field) throws IOException {
        assertThat(send("HEAD /200 HTTP/1.1\r\n" + field + "\r\n\r\n" + LAST_REQUEST))
                .matches("HTTP/1.1 4(00|13)[^\r]*\r\n(?s:.*)\r\n\r\n")
                .containsOnlyOnce("HTTP/1.1");
    }

    // -- a second response

    @ParameterizedTest
    @ValueSource(strings = {"/second-head", "/second-stream"})
    void shouldCutAResponseOffWhenASecondHeadFollows(String path) throws IOException {
        assertThat(send("GET " + path + " HTTP/1.1\r\n\r\n"))
                .endsWith("\r\n\r\n3\r\none\r\n")
                .containsOnlyOnce("HTTP/1.1");
    }

    @Test
    void shouldSendOnlyTheFirstOfTwoResponses() throws IOException {
        assertThat(send("GET /second-response HTTP/1.1\r\n\r\n" + LAST_REQUEST))
                .endsWith("\r\n\r\nfirst" + LAST_RESPONSE)
                .doesNotContain("failed", "two");
    }
}

package org.geraniumford.transport.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.service.CallerLimits;
import org.geraniumford.transport.worker.SlicedExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CallerServerTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final SlicedExecutor executor = SlicedExecutor.of(loop);
    private final List<String> handled = new ArrayList<>();
    private final List<String> left = new ArrayList<>();
    private CallerServer server;

    @BeforeEach
    void start() {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = CallerServer.start(
                        group, anyPort, () -> CallerLimits.DEFAULT, new Recorder(), status -> {}, executor::execute)
                .join();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Records the requests, and takes 30 ms for each, as a small host with cold code does. */
    private final class Recorder implements CallerHandler {
        @Override
        public void handle(CallerExchange exchange) {
            handled.add(exchange.request().uri());
            try {
                Thread.sleep(30);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            exchange.respond(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER));
            exchange.release();
        }

        @Override
        public void callerLeft(CallerExchange exchange) {
            left.add(exchange.request().uri());
        }
    }

    private Socket send(String path) throws IOException {
        Socket socket = new Socket();
        socket.connect(server.address());
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String statusLine(Socket socket) throws IOException {
        byte[] start = socket.getInputStream().readNBytes(12);
        return new String(start, StandardCharsets.US_ASCII);
    }

    /** Guards against forwarding requests whose callers left while the thread was behind (GONE). */
    @Test
    void shouldNotHandleARequestWhoseCallerLeftWhileTheThreadWasBusy() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> awaitUninterruptibly(release));
        for (int i = 0; i < 10; i++) {
            send("/left" + i).close();
        }
        try (Socket stays = send("/stays")) {
            release.countDown();
            assertThat(statusLine(stays)).isEqualTo("HTTP/1.1 200");
        }
        CompletableFuture.runAsync(() -> {}, loop).join();
        assertThat(handled).containsExactly("/stays");
        assertThat(left).hasSize(10);
    }

    /** Guards against callers that leave while earlier requests are handled, after their own has been read. */
    @Test
    void shouldNotHandleARequestWhoseCallerLeftWhileEarlierRequestsWereHandled() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> awaitUninterruptibly(release));
        List<Socket> stay = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            stay.add(send("/stays"));
        }
        Socket leaves = send("/left");
        release.countDown();
        assertThat(statusLine(stay.get(0))).isEqualTo("HTTP/1.1 200");
        leaves.close();
        for (Socket socket : stay.subList(1, 10)) {
            assertThat(statusLine(socket)).isEqualTo("HTTP/1.1 200");
        }
        while (CompletableFuture.supplyAsync(executor::size, loop).join() > 0) {
            Thread.sleep(5);
        }
        assertThat(handled).hasSize(10).containsOnly("/stays");
        assertThat(left).containsExactly("/left");
        for (Socket socket : stay) {
            socket.close();
        }
    }

    /** Guards against callers whose head or body does not end, however slowly its bytes arrive. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /",
                "GET / HTTP/1.1\r\nX-Slow: ",
                "POST / HTTP/1.1\r\nContent-Length: 999\r\n\r\n",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Slow: "
            })
    void shouldCloseAConnectionWhoseRequestDoesNotEndInTime(String start) throws Exception {
        CallerLimits limits = new CallerLimits(4096, 4096, Duration.ofMillis(300), Duration.ofMillis(300));
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        CallerServer impatient = CallerServer.start(group, anyPort, () -> limits, new Recorder(), status -> {})
                .join();
        try (Socket socket = new Socket()) {
            socket.connect(impatient.address());
            socket.getOutputStream().write(start.getBytes(StandardCharsets.US_ASCII));
            long closedAfterMillis = millisUntilClosed(socket, !start.isEmpty());
            assertThat(closedAfterMillis).isBetween(200L, 5_000L);
        }
        assertThat(handled).isEmpty();
    }

    /** Writes a byte every 50 ms until the connection is closed, and returns how long that took. */
    private static long millisUntilClosed(Socket socket, boolean writing) throws IOException {
        long startNanos = System.nanoTime();
        socket.setSoTimeout(50);
        while (System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(10)) {
            try {
                if (socket.getInputStream().read() < 0) {
                    break;
                }
            } catch (SocketTimeoutException e) {
                if (writing) {
                    socket.getOutputStream().write('1');
                }
            } catch (SocketException e) {
                break;
            }
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Guards against a body in many small chunks that is kept as as many nested buffers. */
    @Test
    void shouldReadABodyThatArrivesInManySmallChunks() throws Exception {
        StringBuilder request =
                new StringBuilder("POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        request.append("1\r\nx\r\n".repeat(100_000)).append("0\r\n\r\n");
        try (Socket socket = new Socket()) {
            socket.connect(server.address());
            socket.getOutputStream().write(request.toString().getBytes(StandardCharsets.US_ASCII));
            assertThat(statusLine(socket)).isEqualTo("HTTP/1.1 200");
        }
        assertThat(handled).containsExactly("/chunks");
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            if (!latch.await(10, TimeUnit.SECONDS)) {
                throw new AssertionError("not released in time");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

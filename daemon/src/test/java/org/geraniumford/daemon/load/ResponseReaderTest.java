package org.geraniumford.daemon.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a load tool that counts a broken-off response as complete, or reads one without end. */
class ResponseReaderTest {
    private static final long MAX_WRITTEN_BYTES = 48L * 1024 * 1024;

    private static Outcome read(ServerSocket listener) throws Exception {
        try (AsyncHttpClient client = Dsl.asyncHttpClient()) {
            ResponseReader reader = new ResponseReader(0, () -> 1);
            return client.prepareGet("http://127.0.0.1:" + listener.getLocalPort() + "/")
                    .execute(reader)
                    .toCompletableFuture()
                    .get(20, TimeUnit.SECONDS);
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    /** Answers one request with a text, and then with a block again and again until the caller closes. */
    private static CompletableFuture<Long> respond(ServerSocket listener, String start, byte[] block) {
        return CompletableFuture.supplyAsync(() -> {
            long count = 0;
            try (Socket socket = listener.accept()) {
                if (socket.getInputStream().read(new byte[4096]) > 0) {
                    OutputStream out = socket.getOutputStream();
                    out.write(start.getBytes(StandardCharsets.UTF_8));
                    while (block.length > 0 && count < MAX_WRITTEN_BYTES) {
                        out.write(block);
                        count += block.length;
                    }
                }
            } catch (IOException e) {
                // The caller closed the connection.
            }
            return count;
        });
    }

    @ParameterizedTest
    @CsvSource({"'data: [DONE]\n\n', ''", "'data: [DONE]\n', stream_without_end", "'data: [DO', stream_without_end"})
    void shouldCountAStreamAsCompleteOnlyWhenItsLastEventIsWhole(String body, String reason) throws Exception {
        try (ServerSocket listener = listen()) {
            respond(listener, "HTTP/1.1 200 OK\r\n\r\n" + body, new byte[0]);
            assertThat(read(listener).reason()).isEqualTo(reason);
        }
    }

    @Test
    void shouldCloseTheConnectionWhenAnEventOrAnErrorDoesNotEnd() throws Exception {
        for (String status : new String[] {"200 OK", "503 Busy"}) {
            try (ServerSocket listener = listen()) {
                CompletableFuture<Long> written = respond(
                        listener,
                        "HTTP/1.1 " + status + "\r\n\r\n",
                        "x".repeat(8192).getBytes(StandardCharsets.UTF_8));
                assertThat(read(listener).status()).isIn(200, 503);
                assertThat(written.get(20, TimeUnit.SECONDS)).isLessThan(MAX_WRITTEN_BYTES);
            }
        }
    }
}

package org.geraniumford.transport.engine;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A server that answers each connection with the same bytes, whatever the request, and then closes it. */
final class RawServer implements AutoCloseable {
    private static final long MAX_WRITTEN_BYTES = 64L * 1024 * 1024;
    private static final int REQUEST_BUFFER_BYTES = 64 * 1024;
    private static final long CLOSE_DELAY_MILLIS = 200;

    private final ServerSocket listener;
    private final String start;
    private final Optional<String> repeated;
    /** The time from the last byte to the close of the connection. */
    private final long closeDelayMillis;

    /** Whether the connection is reset instead of closed. */
    private final boolean resetting;

    private final CompletableFuture<Long> written = new CompletableFuture<>();

    private RawServer(
            ServerSocket listener, String start, Optional<String> repeated, long closeDelayMillis, boolean resetting) {
        this.listener = listener;
        this.start = start;
        this.repeated = repeated;
        this.closeDelayMillis = closeDelayMillis;
        this.resetting = resetting;
    }

    /** Starts a server that writes a text and closes the connection. */
    static RawServer sending(String text) throws IOException {
        return start(text, Optional.empty(), 0, false);
    }

    /** Starts a server that writes a text and closes the connection 200 ms later, after the client has read it. */
    static RawServer sendingAndClosingLater(String text) throws IOException {
        return start(text, Optional.empty(), CLOSE_DELAY_MILLIS, false);
    }

    /** Starts a server that writes a text and resets the connection. */
    static RawServer sendingAndResetting(String text) throws IOException {
        return start(text, Optional.empty(), 0, true);
    }

    /** Starts a server that writes a text, and then another one until the caller closes the connection. */
    static RawServer sendingWithoutEnd(String text, String repeated) throws IOException {
        return start(text, Optional.of(repeated), 0, false);
    }

    private static RawServer start(String text, Optional<String> repeated, long closeDelayMillis, boolean resetting)
            throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        RawServer server = new RawServer(listener, text, repeated, closeDelayMillis, resetting);
        Thread thread = new Thread(server::serve, "raw-server");
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    URI uri() {
        return URI.create("http://127.0.0.1:" + listener.getLocalPort());
    }

    /** Returns how much was written on the first connection until its caller closed it. */
    CompletableFuture<Long> written() {
        return written;
    }

    static long maxWrittenBytes() {
        return MAX_WRITTEN_BYTES;
    }

    private void serve() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                if (socket.getInputStream().read(new byte[REQUEST_BUFFER_BYTES]) > 0) {
                    written.complete(respond(socket.getOutputStream()));
                    Thread.sleep(closeDelayMillis);
                    if (resetting) {
                        socket.setSoLinger(true, 0);
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (IOException e) {
                // The listener or the connection is closed.
            }
        }
    }

    private long respond(OutputStream out) throws IOException {
        out.write(start.getBytes(StandardCharsets.UTF_8));
        long count = 0;
        byte[] block = repeated.orElse("").getBytes(StandardCharsets.UTF_8);
        try {
            while (block.length > 0 && count < MAX_WRITTEN_BYTES) {
                out.write(block);
                count += block.length;
            }
        } catch (IOException e) {
            // The caller closed the connection.
        }
        return count;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}

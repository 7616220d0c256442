package org.geraniumford.transport.engine;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that answers each request with the same bytes, and keeps the connection open. */
final class KeepAliveServer implements AutoCloseable {
    /** The time between a response and the bytes behind it, in milliseconds. */
    private static final int PAUSE_MILLIS = 10;

    private static final long MAX_WAIT_NANOS = Duration.ofSeconds(10).toNanos();

    private static final int REQUEST_BUFFER_BYTES = 64 * 1024;

    private final ServerSocket listener;
    private final String response;
    private final String behind;
    private final boolean pausing;
    private final AtomicInteger reused = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();

    private KeepAliveServer(ServerSocket listener, String response, String behind, boolean pausing) {
        this.listener = listener;
        this.response = response;
        this.behind = behind;
        this.pausing = pausing;
    }

    /** Starts a server that writes a response and more bytes behind it: at once, or after a pause. */
    static KeepAliveServer sending(String response, String behind, boolean pausing) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        KeepAliveServer server = new KeepAliveServer(listener, response, behind, pausing);
        startThread(server::accept);
        return server;
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "keep-alive-server");
        thread.setDaemon(true);
        thread.start();
    }

    URI uri() {
        return URI.create("http://127.0.0.1:" + listener.getLocalPort());
    }

    /** Returns how many requests came on a connection that had carried one before. */
    int reused() {
        return reused.get();
    }

    /** Returns whether the client closes all connections within 10 s. */
    boolean isLeft() throws InterruptedException {
        long start = System.nanoTime();
        while (open.get() > 0 && System.nanoTime() - start < MAX_WAIT_NANOS) {
            Thread.sleep(1);
        }
        return open.get() == 0;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.incrementAndGet();
                startThread(() -> serve(socket));
            } catch (IOException e) {
                // The listener is closed.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            boolean first = true;
            while (socket.getInputStream().read(new byte[REQUEST_BUFFER_BYTES]) > 0) {
                if (!first) {
                    reused.incrementAndGet();
                }
                first = false;
                respond(socket.getOutputStream());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The connection is closed.
        } finally {
            open.decrementAndGet();
        }
    }

    private void respond(OutputStream out) throws IOException, InterruptedException {
        if (pausing) {
            out.write(response.getBytes(StandardCharsets.UTF_8));
            Thread.sleep(PAUSE_MILLIS);
            out.write(behind.getBytes(StandardCharsets.UTF_8));
        } else {
            out.write((response + behind).getBytes(StandardCharsets.UTF_8));
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}

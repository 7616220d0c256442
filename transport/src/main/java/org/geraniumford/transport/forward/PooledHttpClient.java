package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** Sends the router's own HTTP calls over pooled connections. Used on its network thread only. */
public final class PooledHttpClient {
    private final EventLoop loop;
    private final ConnectionPool pool;
    private final ResponseMemory memory;

    private PooledHttpClient(EventLoop loop, ResponseMemory memory) {
        this.loop = loop;
        this.memory = memory;
        this.pool = ConnectionPool.of(loop);
    }

    // -- construction

    /**
     * Creates a client without connections.
     *
     * @param loop the network thread on which calls are made and futures complete
     * @param memory the memory for responses that are not complete yet
     * @return a new client
     */
    public static PooledHttpClient of(EventLoop loop, ResponseMemory memory) {
        return new PooledHttpClient(requireNonNull(loop, "loop is null"), requireNonNull(memory, "memory is null"));
    }

    // -- commands

    /**
     * Sends a call without retries.
     *
     * @param method the method
     * @param address the server, IP:PORT
     * @param path the path and query
     * @param headers further header fields
     * @param body the JSON body; empty for none
     * @param timeout the longest time that the call may take, connecting included
     * @return the response, or an {@link IOException} or a {@link TimeoutException}; after either the call may have had
     *     an effect
     */
    public CompletableFuture<BufferedHttpResponse> call(
            HttpMethod method,
            String address,
            String path,
            Map<String, String> headers,
            byte[] body,
            Duration timeout) {
        return start(new Call(request(method, address, path, headers, body), memory, () -> true), address, timeout);
    }

    /**
     * Sends a call without retries if it is still permitted when its bytes are about to be written. A call that was not
     * answered in time is withdrawn: its connection is reset, so that bytes that the server has not received by then
     * never arrive.
     *
     * @param permission asked when the bytes are about to be written; if it returns false the call fails and nothing is
     *     sent
     * @param method the method
     * @param address the server, IP:PORT
     * @param path the path and query
     * @param headers further header fields
     * @param body the JSON body; empty for none
     * @param timeout the longest time that the call may take, connecting included
     * @return as {@link #call} does
     */
    public CompletableFuture<BufferedHttpResponse> callIfPermitted(
            BooleanSupplier permission,
            HttpMethod method,
            String address,
            String path,
            Map<String, String> headers,
            byte[] body,
            Duration timeout) {
        return start(new Call(request(method, address, path, headers, body), memory, permission), address, timeout);
    }

    private static FullHttpRequest request(
            HttpMethod method, String address, String path, Map<String, String> headers, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, address);
        headers.forEach((name, value) -> request.headers().set(name, value));
        if (body.length > 0 || method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        return request;
    }

    private CompletableFuture<BufferedHttpResponse> start(Call call, String address, Duration timeout) {
        call.timer = loop.schedule(
                () -> {
                    call.timedOut();
                    // What has made this connection silent may have done so with the others.
                    pool.closeIdle(address);
                },
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
        pool.acquire(address, call::connected, call::fail);
        return call.response;
    }

    /**
     * Closes the connections to a server on which no call is in progress.
     *
     * @param address the server, IP:PORT
     */
    public void closeIdleConnections(String address) {
        pool.closeIdle(address);
    }

    /** Closes the connections that have been idle for longer than their keep-alive timeout. */
    public void closeExpiredConnections() {
        pool.closeExpired();
    }

    private static final class Call implements ResponseListener {
        private final FullHttpRequest request;
        private final CompletableFuture<BufferedHttpResponse> response = new CompletableFuture<>();
        private final HeldBody body;
        private final BooleanSupplier permission;
        private ScheduledFuture<?> timer;
        private ServerConnection connection;
        private HttpResponse head;

        Call(FullHttpRequest request, ResponseMemory memory, BooleanSupplier permission) {
            this.request = request;
            this.permission = permission;
            this.body = memory.newBody(() -> abort("the responses that are held are too large together"));
        }

        void connected(ServerConnection opened) {
            if (response.isDone()) {
                opened.abort();
                return;
            }
            if (!permission.getAsBoolean()) {
                opened.abort();
                fail(new IOException("no longer permitted"));
                return;
            }
            connection = opened;
            opened.send(request, this);
        }

        void fail(Throwable cause) {
            if (timer != null) {
                timer.cancel(false);
            }
            body.release();
            response.completeExceptionally(cause);
        }

        void timedOut() {
            if (connection != null) {
                connection.reset();
            }
            fail(new TimeoutException("no answer in time"));
        }

        @Override
        public boolean accepts(HttpResponse received) {
            return true;
        }

        @Override
        public void head(HttpResponse received) {
            head = received;
        }

        @Override
        public void content(ByteBuf chunk) {
            if (body.size() + chunk.readableBytes() > ResponseLimits.MAX_OWN_CALL_BYTES) {
                abort("the answer is too large");
            } else {
                body.append(chunk);
            }
        }

        private void abort(String reason) {
            connection.abort();
            fail(new IOException(reason));
        }

        @Override
        public void end() {
            timer.cancel(false);
            ByteBuf whole = body.take();
            byte[] bytes = ByteBufUtil.getBytes(whole);
            whole.release();
            response.complete(new BufferedHttpResponse(head.status().code(), head.headers(), bytes));
        }

        @Override
        public void failed(String reason) {
            fail(new IOException(reason));
        }
    }
}

package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumford.core.forward.RefusalHistory;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.response.StrictResponseDecoder;

/** A connection of a {@link ConnectionPool}, for one request at a time. Used on its network thread only. */
public final class ServerConnection extends ChannelInboundHandlerAdapter {
    private final Channel channel;

    /** Receives this connection after each response, if it can be reused. */
    private final Consumer<ServerConnection> idleListener;

    /** Receives this connection once it is closed. */
    private final Consumer<ServerConnection> closedListener;

    /** Receives the response to the current request; null if there is none. */
    private ResponseListener listener;

    private boolean headRequest;

    private final SkippedResponses skipped = SkippedResponses.empty();

    /** Whether the body of the response to the current request is being read. */
    private boolean receiving;

    /** What marks the end of the response that is being read. */
    private ResponseFraming framing = ResponseFraming.DELIMITED;

    private boolean reusable = true;

    private RefusalHistory refusals = RefusalHistory.empty();

    /** Whether the response is complete, while bytes that arrived with it may still have to be read. */
    private boolean finished;

    /** Done once the request was handed to the operating system whole, or cannot be. */
    private ChannelFuture requestWritten;

    /** Whether the request has a body, which the server may leave unread. */
    private boolean requestHasBody;

    /** Whether the server has ended a response without a length, and may be resetting the connection as well. */
    private boolean endUnconfirmed;

    private final ResponseSurplus surplus;

    /** The reason that the listener receives if the connection ends before the response is complete. */
    private String failure = "closed";

    /** The time for which the idle connection may be reused. */
    private Duration keepAlive;

    private long idleSinceNanos;

    ServerConnection(
            Channel channel,
            Duration keepAlive,
            Consumer<ServerConnection> idleListener,
            Consumer<ServerConnection> closedListener) {
        this.channel = channel;
        this.keepAlive = keepAlive;
        this.idleListener = idleListener;
        this.closedListener = closedListener;
        this.surplus = ResponseSurplus.of(channel, this::handleSilence);
    }

    // -- queries

    boolean isUsable(long nowNanos) {
        return channel.isActive() && reusable && nowNanos - idleSinceNanos < keepAlive.toNanos();
    }

    boolean isHeadRequest() {
        return headRequest;
    }

    /**
     * Returns the refusals that this connection has carried.
     *
     * @return the history of all requests sent on it
     */
    public RefusalHistory refusals() {
        return refusals;
    }

    // -- commands

    /**
     * Records that the response that is being received is a refusal, after which this connection may have to be closed.
     *
     * @param namedId the request that the refusal names; empty if it names none
     */
    public void recordRefusal(Optional<String> namedId) {
        refusals = refusals.plus(namedId);
        reusable = reusable && refusals.allowsReuse();
    }

    /**
     * Sends a request. The last call of the listener is {@link ResponseListener#end} or
     * {@link ResponseListener#failed}, unless {@link #abort} is called before.
     *
     * @param request the request; released once written
     * @param responseListener receives the response
     */
    public void send(FullHttpRequest request, ResponseListener responseListener) {
        listener = requireNonNull(responseListener, "responseListener is null");
        headRequest = request.method().equals(HttpMethod.HEAD);
        finished = false;
        endUnconfirmed = false;
        requestHasBody = request.content().isReadable();
        skipped.clear();
        surplus.clear();
        decoder().ifPresent(StrictResponseDecoder::resume);
        requestWritten = channel.writeAndFlush(request);
        requestWritten.addListener(this::handleWritten);
    }

    private void handleWritten(Future<? super Void> written) {
        if (!written.isSuccess()) {
            failure = "write failed: " + written.cause().getMessage();
            channel.close();
        }
    }

    /** Closes the connection. The listener is not called any more. */
    public void abort() {
        listener = null;
        reusable = false;
        surplus.stopWaiting();
        channel.close();
    }

    /** Closes the connection like {@link #abort}, and discards what was sent and has not reached the server. */
    void reset() {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        abort();
    }

    /**
     * Stops or continues reading, so that the server does not send faster than a slow caller reads.
     *
     * @param enabled false to stop reading
     */
    public void setAutoRead(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    // -- events

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            DecoderResult result = ((HttpObject) message).decoderResult();
            if (listener == null || finished) {
                closeAfterSurplusBytes();
            } else if (result.isFailure()) {
                fail("not an HTTP answer: "
                        + LogEvent.limited(String.valueOf(result.cause().getMessage())));
            } else {
                read(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent chunk && (receiving || skipped.isWithinBody())) {
            readContent(chunk);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail("the server switched protocols");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            listener.interim(head);
            skipped.skipInterim().ifPresent(this::fail);
            return;
        }
        if (!listener.accepts(head)) {
            reusable = false;
            skipped.skip(head).ifPresent(this::fail);
            return;
        }
        receiving = true;
        framing = ResponseFraming.of(head);
        reusable = reusable && HttpUtil.isKeepAlive(head) && framing.isEndMarked();
        updateKeepAlive(head);
        listener.head(head);
    }

    private void readContent(HttpContent chunk) {
        if (skipped.isWithinBody()) {
            skipped.skip(chunk).ifPresent(this::fail);
            return;
        }
        if (chunk.content().isReadable()) {
            listener.content(chunk.content());
        }
        if (chunk instanceof LastHttpContent && listener != null && endsInOrder()) {
            receiving = false;
            endUnconfirmed = !framing.isEndMarked() && requestHasBody;
            finished = !endUnconfirmed;
            decoder().ifPresent(StrictResponseDecoder::pause);
        }
    }

    /** Ends a response whose last bytes were read, unless what may still follow them shows whether it is whole. */
    private void endUnlessDoubtful() {
        if (!finished || listener == null) {
            return;
        }
        passSurplusOn();
        Duration silence = listener == null ? Duration.ZERO : listener.silenceBeforeEnd();
        if (silence.isZero()) {
            endResponse();
        } else {
            surplus.awaitSilence(silence);
        }
    }

    /** Ends a response that nothing has followed for long enough; the connection is not trusted with another one. */
    private void handleSilence() {
        reusable = false;
        endResponse();
        release();
    }

    private void passSurplusOn() {
        decoder().map(StrictResponseDecoder::undecoded).ifPresent(undecoded -> surplus.passOn(undecoded, listener));
    }

    private void endResponse() {
        surplus.stopWaiting();
        ResponseListener completed = listener;
        listener = null;
        if (completed != null) {
            completed.end();
        }
    }

    /**
     * Returns whether the end that the decoder reports is one that the server sent. The decoder also ends a response
     * without a length when its connection is closed by a reset, a failed write or this process; only after the end of
     * the server's bytes is the connection still active then, because half-closed connections are allowed. Whether the
     * server also resets the connection is then still to come.
     */
    private boolean endsInOrder() {
        return framing.isEndMarked() || channel.isActive();
    }

    private void updateKeepAlive(HttpResponse head) {
        Optional.ofNullable(head.headers().get("Keep-Alive"))
                .flatMap(KeepAliveTimeout::parse)
                .ifPresent(timeout -> keepAlive = timeout);
    }

    /** Ends the response only after all bytes that arrived with it have been read. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        endUnlessDoubtful();
        release();
    }

    /**
     * Makes the connection available for reuse after a response. Closes it if the server has sent more than responses:
     * the surplus would be read as the start of the next one.
     */
    private void release() {
        if (listener == null && undecodedBytes() > 0) {
            closeAfterSurplusBytes();
        }
        if (!finished || listener != null) {
            return;
        }
        finished = false;
        if (reusable && channel.isActive() && requestWritten.isSuccess()) {
            channel.config().setAutoRead(true);
            idleSinceNanos = System.nanoTime();
            idleListener.accept(this);
        } else {
            channel.close();
        }
    }

    private int undecodedBytes() {
        return decoder().map(StrictResponseDecoder::undecodedBytes).orElse(0);
    }

    /** Returns the decoder before this handler; empty once the connection is closed. */
    private Optional<StrictResponseDecoder> decoder() {
        return Optional.ofNullable(channel.pipeline().get(StrictResponseDecoder.class));
    }

    private void closeAfterSurplusBytes() {
        if (reusable) {
            LogEvent.of("bytes_after_response")
                    .with("server", channel.remoteAddress())
                    .with("undecoded", undecodedBytes())
                    .info();
        }
        reusable = false;
        channel.close();
    }

    /** Closes the connection after the end of the server's bytes, which the decoder has handled before. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof ChannelInputShutdownEvent)) {
            return;
        }
        if (endUnconfirmed) {
            ResetProbe.of(channel, requestWritten).start(this::endConfirmed, this::handleReset);
            return;
        }
        if (finished && listener != null) {
            passSurplusOn();
            endResponse();
        }
        channel.close();
    }

    private void endConfirmed() {
        endResponse();
        channel.close();
    }

    private void handleReset(Throwable cause) {
        failure = "reset after the end: " + cause.getMessage();
        channel.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            endListener("reset: " + cause.getMessage()).ifPresent(interrupted -> interrupted.closed(failure));
        } else {
            fail(cause.toString());
        }
    }

    private void fail(String reason) {
        endListener(reason).ifPresent(interrupted -> interrupted.failed(reason));
    }

    /**
     * Closes the connection, and returns the listener of the response that is thereby interrupted. A response that had
     * been read to its end is not, unless its end is in doubt.
     */
    private Optional<ResponseListener> endListener(String reason) {
        endUnlessDoubtful();
        surplus.stopWaiting();
        failure = reason;
        reusable = false;
        ResponseListener interrupted = listener;
        listener = null;
        channel.close();
        return Optional.ofNullable(interrupted);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        reusable = false;
        closedListener.accept(this);
        endListener(failure).ifPresent(interrupted -> interrupted.closed(failure));
    }
}

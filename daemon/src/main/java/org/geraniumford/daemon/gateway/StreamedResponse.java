package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.geraniumford.core.stream.EventFramer;
import org.geraniumford.transport.forward.CallerExchange;

/**
 * The stream of events that a caller receives as one response, from one or more attempts. Only whole events are
 * forwarded, because a server may break its stream off within one. Used on the gateway's network thread only.
 */
final class StreamedResponse {
    /** The number of bytes held back from which on the server is not read. */
    private static final long MAX_HELD_BYTES = 64 * 1024;

    private final GatewayProtocol protocol;
    private final CallerExchange exchange;
    private final EventFramer framer = EventFramer.empty();
    private boolean started;

    /** What follows once the response is no longer held back, in order. */
    private final Deque<Runnable> held = new ArrayDeque<>();

    private boolean holding;
    private long heldBytes;
    private Runnable releaseListener = () -> {};

    /** The media type that the caller was told; empty before the stream starts, or if its server named none. */
    private Optional<String> mediaType = Optional.empty();

    private StreamedResponse(GatewayProtocol protocol, CallerExchange exchange) {
        this.protocol = protocol;
        this.exchange = exchange;
    }

    // -- construction

    static StreamedResponse of(GatewayProtocol protocol, CallerExchange exchange) {
        return new StreamedResponse(
                requireNonNull(protocol, "protocol is null"), requireNonNull(exchange, "exchange is null"));
    }

    // -- queries

    /** Returns whether more may be received from the server now. */
    boolean hasRoom() {
        return exchange.isWritable() && heldBytes < MAX_HELD_BYTES;
    }

    /** Returns whether a response may go on with what the caller has received; true if it has received nothing. */
    boolean mayContinueWith(HttpResponse head) {
        return !started || (head.status().equals(HttpResponseStatus.OK) && hasSameMediaType(head));
    }

    private boolean hasSameMediaType(HttpResponse head) {
        Optional<String> other = mediaType(head);
        return mediaType.isEmpty() || other.isEmpty() || mediaType.get().equalsIgnoreCase(other.get());
    }

    private static Optional<String> mediaType(HttpResponse head) {
        return Optional.ofNullable(HttpUtil.getMimeType(head)).map(CharSequence::toString);
    }

    boolean isWithinEvent() {
        return framer.hasPartialEvent();
    }

    boolean hasOversizedEvent() {
        return framer.isOversized();
    }

    /** Returns whether the stream is complete if the current attempt ends now. */
    boolean isCompleteAtEnd(boolean endMarked) {
        return framer.isCompleteAtEnd(endMarked);
    }

    /** Returns the identifier of the last event of the caller, held back or not; empty if there is none. */
    Optional<String> lastEventId() {
        return started ? framer.lastEventId() : Optional.empty();
    }

    // -- commands

    /** Forwards the events that a chunk completes, and returns whether it completes any. */
    boolean forward(HttpResponse head, ByteBuf chunk) {
        byte[] events = framer.feed(ByteBufUtil.getBytes(chunk));
        if (events.length == 0) {
            return false;
        }
        start(head);
        heldBytes += holding ? events.length : 0;
        whenReleased(() -> exchange.writeContent(Unpooled.wrappedBuffer(events)));
        return true;
    }

    /** Sets what is called when nothing is held back any more. */
    void onReleased(Runnable listener) {
        releaseListener = requireNonNull(listener, "listener is null");
    }

    /** Holds back what the caller would receive, until {@link #release}. */
    void hold() {
        holding = true;
    }

    /** Sends what was held back, and returns whether there was anything. */
    boolean release() {
        boolean any = !held.isEmpty();
        holding = false;
        heldBytes = 0;
        while (!held.isEmpty()) {
            held.poll().run();
        }
        releaseListener.run();
        return any;
    }

    /** Discards what was held back, because the response has ended otherwise. */
    void discardHeld() {
        held.clear();
    }

    /** Runs an action behind what is held back, or at once if nothing is. */
    void whenReleased(Runnable action) {
        if (holding) {
            held.add(action);
        } else {
            action.run();
        }
    }

    /** Discards the bytes of an incomplete event before the next attempt, whose server sends the whole event. */
    void discardPartialEvent() {
        framer.discardPartialEvent();
    }

    void end(HttpResponse head) {
        start(head);
        exchange.end();
    }

    /** Sends the head of the first attempt that has a part in the stream. */
    private void start(HttpResponse head) {
        if (!started) {
            started = true;
            mediaType = mediaType(head);
            HttpResponse forwarded = protocol.forwardHead(head);
            whenReleased(() -> exchange.begin(forwarded));
        }
    }
}

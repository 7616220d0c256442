package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.geraniumford.transport.log.LogEvent;

/**
 * What follows a response on its connection while it is in doubt whether the response is whole. Used on the
 * connection's network thread only.
 */
final class ResponseSurplus {
    private final Channel channel;

    /** Ends a response that nothing has followed for long enough. */
    private final Runnable silenceListener;

    /** How many bytes behind the response have been passed on. */
    private int passedBytes;

    private Future<?> silenceTimer = CompletableFuture.completedFuture(null);

    private ResponseSurplus(Channel channel, Runnable silenceListener) {
        this.channel = channel;
        this.silenceListener = silenceListener;
    }

    // -- construction

    /** Creates the surplus of a connection, given what ends a response once nothing has followed it. */
    static ResponseSurplus of(Channel channel, Runnable silenceListener) {
        return new ResponseSurplus(
                requireNonNull(channel, "channel is null"), requireNonNull(silenceListener, "silenceListener is null"));
    }

    // -- commands

    /** Prepares for the next response. */
    void clear() {
        silenceTimer.cancel(false);
        passedBytes = 0;
    }

    /**
     * Passes on what has been received behind the response since the last call.
     *
     * @param undecoded all bytes received behind the response, those passed on before included
     * @param listener receives the bytes that are new
     */
    void passOn(ByteBuf undecoded, ResponseListener listener) {
        int newBytes = undecoded.readableBytes() - passedBytes;
        if (newBytes > 0) {
            ByteBuf surplus = undecoded.slice(undecoded.readerIndex() + passedBytes, newBytes);
            passedBytes += newBytes;
            listener.surplus(surplus);
        }
    }

    /** Waits for silence, counted from now. */
    void awaitSilence(Duration silence) {
        silenceTimer.cancel(false);
        silenceTimer = channel.eventLoop().schedule(this::handleSilence, silence.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void handleSilence() {
        LogEvent.of("doubtful_end_believed")
                .with("server", channel.remoteAddress())
                .with("bytes_behind", passedBytes)
                .info();
        silenceListener.run();
    }

    void stopWaiting() {
        silenceTimer.cancel(false);
    }
}

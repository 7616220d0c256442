package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.transport.forward.ResponseLimits;
import org.geraniumford.transport.response.EmbeddedHeadDetector;

/**
 * Checks the body of one response as it arrives: its size, and that it does not hold another response. Used on the
 * gateway's network thread only.
 */
final class BodyCheck {
    private static final String EMBEDDED_HEAD = "the body holds another response";

    private final EmbeddedHeadDetector detector;
    private long receivedBytes;

    private BodyCheck(EmbeddedHeadDetector detector) {
        this.detector = detector;
    }

    // -- construction

    /** Creates a check, given the names in lower case of the fields that only a response's head has. */
    static BodyCheck of(Set<String> headFields) {
        return new BodyCheck(EmbeddedHeadDetector.of(requireNonNull(headFields, "headFields is null")));
    }

    // -- queries

    /**
     * Returns for how long nothing must follow the body before it counts as whole: it may have been broken off within
     * bytes that look like its own.
     */
    Duration silenceBeforeEnd(HttpResponse head) {
        return mayContinue(head) ? detector.bodyEnd().silence() : Duration.ZERO;
    }

    /** Returns whether bytes behind the body may continue a head that begins in it; not behind a last chunk. */
    private static boolean mayContinue(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
    }

    // -- commands

    /** Checks the next bytes before they are used, and returns why the body cannot be; empty if it can. */
    Optional<String> feed(ByteBuf chunk, boolean streamed) {
        receivedBytes += chunk.readableBytes();
        int maxBytes = streamed ? ResponseLimits.MAX_STREAM_BYTES : ResponseLimits.MAX_BUFFERED_BYTES;
        if (receivedBytes > maxBytes) {
            return Optional.of((streamed ? "the stream exceeds " : "the answer exceeds ") + maxBytes + " bytes");
        }
        detector.feed(chunk);
        return fault();
    }

    /** Checks the next bytes behind the response, which may continue a head that begins within the body. */
    Optional<String> feedSurplus(HttpResponse head, ByteBuf bytes) {
        if (!mayContinue(head)) {
            return Optional.empty();
        }
        detector.endBody();
        detector.feed(bytes);
        return fault();
    }

    private Optional<String> fault() {
        return detector.isFound() ? Optional.of(EMBEDDED_HEAD) : Optional.empty();
    }
}

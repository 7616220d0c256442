package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
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

    /**
     * Checks the bytes behind the response, which may continue a head that begins within the body; not if the body ends
     * with a last chunk, which stands between them.
     */
    Optional<String> feedSurplus(HttpResponse head, ByteBuf bytes) {
        if (HttpUtil.isTransferEncodingChunked(head)) {
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

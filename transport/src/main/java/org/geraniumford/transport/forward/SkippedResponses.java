package org.geraniumford.transport.forward;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/**
 * The responses that a connection carries in front of the one that is awaited: interim responses and late ones to other
 * requests. Bounds their number and size.
 */
final class SkippedResponses {
    private int count;
    private long bytes;

    /** Whether the body that is being read belongs to a response to another request. */
    private boolean withinBody;

    private SkippedResponses() {}

    // -- construction

    static SkippedResponses empty() {
        return new SkippedResponses();
    }

    // -- queries

    boolean isWithinBody() {
        return withinBody;
    }

    // -- commands

    /** Prepares for the next request. */
    void clear() {
        count = 0;
        bytes = 0;
    }

    /** Counts an interim response, and returns why no more can be skipped; empty if they can. */
    Optional<String> skipInterim() {
        count++;
        return count > ResponseLimits.MAX_IGNORED_RESPONSES
                ? Optional.of("more than " + ResponseLimits.MAX_IGNORED_RESPONSES + " other answers first")
                : Optional.empty();
    }

    /** Begins to skip a response to another request, and returns why it cannot be skipped; empty if it can. */
    Optional<String> skip(HttpResponse other) {
        if (!ResponseFraming.of(other).isEndMarked()) {
            return Optional.of("an answer to another request has no length");
        }
        withinBody = true;
        return skipInterim();
    }

    /** Skips a part of a body, and returns why no more can be skipped; empty if it can. */
    Optional<String> skip(HttpContent chunk) {
        withinBody = !(chunk instanceof LastHttpContent);
        bytes += chunk.content().readableBytes();
        return bytes > ResponseLimits.MAX_BUFFERED_BYTES
                ? Optional.of("an answer to another request exceeds " + ResponseLimits.MAX_BUFFERED_BYTES + " bytes")
                : Optional.empty();
    }
}

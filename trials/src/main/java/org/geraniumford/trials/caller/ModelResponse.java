package org.geraniumford.trials.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/**
 * The response to one streamed model request, as its caller received it.
 *
 * @param status the HTTP status code
 * @param text the generated text, as far as it arrived
 * @param end how the stream ended
 * @param reason the reason of the error; empty if there was none
 * @param verdict the verdict of the error; empty if there was none
 * @param timeToFirstToken the time from sending the request to the first text; zero if there was no text
 * @param backend the host that served the request; empty if the response does not name it
 * @param attempts the number of attempts; 0 if the response does not contain it
 * @param cachedBlocks the number of prompt blocks found in the engine's prefix cache
 * @param blocks the number of prompt blocks
 */
public record ModelResponse(
        int status,
        String text,
        StreamEnd end,
        String reason,
        String verdict,
        Duration timeToFirstToken,
        String backend,
        int attempts,
        int cachedBlocks,
        int blocks) {
    /** The ways in which a stream ends. */
    public enum StreamEnd {
        /** With its terminal event. */
        COMPLETE,
        /** With an error event, or as an error response. */
        ERROR,
        /** Without either. The router guarantees that this does not happen. */
        CUT
    }

    // -- queries

    /**
     * Returns whether the response arrived whole.
     *
     * @return true if the stream ended with its terminal event
     */
    public boolean isComplete() {
        return end == StreamEnd.COMPLETE;
    }

    /** Builds a response from the events of one stream. */
    static final class Builder {
        private final int status;
        private final long sentNanos;
        private final Runnable onFirstToken;
        private final StringBuilder text = new StringBuilder();
        private StreamEnd end = StreamEnd.CUT;
        private String reason = "";
        private String verdict = "";
        private Duration timeToFirstToken = Duration.ZERO;
        private JsonNode summary = com.fasterxml.jackson.databind.node.MissingNode.getInstance();

        Builder(int status, long sentNanos, Runnable onFirstToken) {
            this.status = status;
            this.sentNanos = sentNanos;
            this.onFirstToken = onFirstToken;
        }

        /** Adds an event that was received at a time of {@link System#nanoTime()}. */
        void addEvent(JsonNode event, long nowNanos) {
            if (event.has("error")) {
                end = StreamEnd.ERROR;
                reason = event.path("error").path("reason").asText();
                verdict = event.path("error").path("verdict").asText();
            }
            if (event.has("geraniumford")) {
                summary = event.path("geraniumford");
            }
            String delta =
                    event.path("choices").path(0).path("delta").path("content").asText("");
            if (!delta.isEmpty() && text.isEmpty()) {
                timeToFirstToken = Duration.ofNanos(nowNanos - sentNanos);
                onFirstToken.run();
            }
            text.append(delta);
        }

        void markComplete() {
            end = StreamEnd.COMPLETE;
        }

        void markTruncated() {
            end = end == StreamEnd.COMPLETE ? StreamEnd.COMPLETE : StreamEnd.CUT;
        }

        ModelResponse build() {
            return new ModelResponse(
                    status,
                    text.toString(),
                    end,
                    reason,
                    verdict,
                    timeToFirstToken,
                    summary.path("backend").asText(""),
                    summary.path("attempts").asInt(0),
                    summary.path("cached_pieces").asInt(0),
                    summary.path("pieces").asInt(0));
        }
    }
}

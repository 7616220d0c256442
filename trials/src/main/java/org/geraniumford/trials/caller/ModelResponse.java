package org.geraniumford.trials.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/**
 * The response to one streamed model request, as its caller received it.
 *
 * @param status the HTTP status code
 * @param text the generated text, as far as it arrived
 * @param end how the stream ended
 * @param reason the reason that the error states, such as {@code queue_full}; empty if there was no error
 * @param verdict the verdict that the error states, such as {@code not_run}; empty if there was no error
 * @param timeToFirstToken the time from sending the request to the first text; zero if there was no text
 * @param backend the name of the host that finished the response; empty if the response does not contain it
 * @param attempts the number of attempts that the entry made; 0 if the response does not contain it
 * @param cachedBlocks the number of prompt blocks that the last attempt found in the engine's prefix cache; 0 if the
 *     response does not contain it
 * @param blocks the number of prompt blocks; 0 if the response does not contain it
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
        /** With its terminal event, {@code [DONE]}. */
        COMPLETE,
        /** With an error event, or as an error response. */
        ERROR,
        /**
         * With neither a terminal event nor an error, or because the connection broke or a line was not JSON. The
         * router guarantees that this does not happen.
         */
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
        private JsonNode routerSummary = com.fasterxml.jackson.databind.node.MissingNode.getInstance();

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
                routerSummary = event.path("geraniumford");
            }
            String delta =
                    event.path("choices").path(0).path("delta").path("content").asText("");
            if (!delta.isEmpty() && text.isEmpty()) {
                timeToFirstToken = Duration.ofNanos(nowNanos - sentNanos);
                onFirstToken.run();
            }
            text.append(delta);
        }

        /** Records that the terminal event was received. */
        void markComplete() {
            end = StreamEnd.COMPLETE;
        }

        /** Records that the rest of the stream could not be read; has no effect after the terminal event. */
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
                    routerSummary.path("backend").asText(""),
                    routerSummary.path("attempts").asInt(0),
                    routerSummary.path("cached_pieces").asInt(0),
                    routerSummary.path("pieces").asInt(0));
        }
    }
}

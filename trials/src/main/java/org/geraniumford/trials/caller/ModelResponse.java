package org.geraniumford.trials.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/**
 * What a caller saw of one streamed model request.
 *
 * @param status the HTTP status
 * @param text the answer's text
 * @param end how the stream ended
 * @param reason the reason of an error; empty if there was none
 * @param verdict the verdict of an error; empty if there was none
 * @param timeToFirstToken the time from sending to the first text; zero if there was none
 * @param backend the host that served the answer; empty if not told
 * @param attempts the number of attempts; 0 if not told
 * @param cachedBlocks the number of prompt pieces taken from the cache
 * @param blocks the number of prompt pieces
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
    /** How a stream ended. */
    public enum StreamEnd {
        /** By its terminal event. */
        COMPLETE,
        /** By an error event, or by an answer that is an error. */
        ERROR,
        /** Without either; the router promises that this does not happen. */
        CUT
    }

    // -- queries

    /**
     * Says whether the whole answer came.
     *
     * @return true if the stream ended by its terminal event
     */
    public boolean isComplete() {
        return end == StreamEnd.COMPLETE;
    }

    /** Gathers the events of one stream. */
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

        Builder(int status, long sent, Runnable onFirstToken) {
            this.status = status;
            this.sentNanos = sent;
            this.onFirstToken = onFirstToken;
        }

        void addEvent(JsonNode event, long now) {
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
                timeToFirstToken = Duration.ofNanos(now - sentNanos);
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

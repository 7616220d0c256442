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
 * @param cachedPieces the number of prompt pieces taken from the cache
 * @param pieces the number of prompt pieces
 */
public record ModelAnswer(
        int status,
        String text,
        StreamEnd end,
        String reason,
        String verdict,
        Duration timeToFirstToken,
        String backend,
        int attempts,
        int cachedPieces,
        int pieces) {
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
    public boolean complete() {
        return end == StreamEnd.COMPLETE;
    }

    /** Gathers the events of one stream. */
    static final class Reader {
        private final int status;
        private final long sent;
        private final Runnable onFirstToken;
        private final StringBuilder text = new StringBuilder();
        private StreamEnd end = StreamEnd.CUT;
        private String reason = "";
        private String verdict = "";
        private Duration timeToFirstToken = Duration.ZERO;
        private JsonNode source = com.fasterxml.jackson.databind.node.MissingNode.getInstance();

        Reader(int status, long sent, Runnable onFirstToken) {
            this.status = status;
            this.sent = sent;
            this.onFirstToken = onFirstToken;
        }

        void event(JsonNode event, long now) {
            if (event.has("error")) {
                end = StreamEnd.ERROR;
                reason = event.path("error").path("reason").asText();
                verdict = event.path("error").path("verdict").asText();
            }
            if (event.has("geraniumford")) {
                source = event.path("geraniumford");
            }
            String delta =
                    event.path("choices").path(0).path("delta").path("content").asText("");
            if (!delta.isEmpty() && text.isEmpty()) {
                timeToFirstToken = Duration.ofNanos(now - sent);
                onFirstToken.run();
            }
            text.append(delta);
        }

        void done() {
            end = StreamEnd.COMPLETE;
        }

        void cut() {
            end = end == StreamEnd.COMPLETE ? StreamEnd.COMPLETE : StreamEnd.CUT;
        }

        ModelAnswer answer() {
            return new ModelAnswer(
                    status,
                    text.toString(),
                    end,
                    reason,
                    verdict,
                    timeToFirstToken,
                    source.path("backend").asText(""),
                    source.path("attempts").asInt(0),
                    source.path("cached_pieces").asInt(0),
                    source.path("pieces").asInt(0));
        }
    }
}

package org.geraniumford.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** The shapes of requests and answers that callers know. */
enum CompletionFormat {
    /** Messages in, a message out. */
    CHAT("chat.completion", "chat.completion.chunk") {
        @Override
        List<String> levels(JsonNode body) {
            return CallerRequestReader.messages(body);
        }

        @Override
        void putText(ObjectNode choice, String text, boolean whole) {
            ObjectNode message = choice.putObject(whole ? "message" : "delta");
            if (whole) {
                message.put("role", "assistant");
            }
            if (whole || !text.isEmpty()) {
                message.put("content", text);
            }
        }
    },
    /** A prompt in, text out. */
    TEXT("text_completion", "text_completion") {
        @Override
        List<String> levels(JsonNode body) {
            return CallerRequestReader.prompt(body);
        }

        @Override
        void putText(ObjectNode choice, String text, boolean whole) {
            choice.put("text", text);
        }
    };

    private final String completionObject;
    private final String chunkObject;

    CompletionFormat(String wholeObject, String chunkObject) {
        this.completionObject = wholeObject;
        this.chunkObject = chunkObject;
    }

    // -- queries

    /** Reads the prompt's levels from a request body. */
    abstract List<String> levels(JsonNode body);

    /** Writes the answer's text, or a part of it, into a choice. */
    abstract void putText(ObjectNode choice, String text, boolean whole);

    /** Renders a part of an answer. */
    String chunk(String requestId, String model, String text) {
        ObjectNode body = body(requestId, model, chunkObject);
        putText(choice(body, null), text, false);
        return body.toString();
    }

    /** Renders the last part of a streamed answer. */
    String lastChunk(String requestId, String model, ResponseSummary summary) {
        ObjectNode body = body(requestId, model, chunkObject);
        putText(choice(body, summary.finishReason()), "", false);
        return summary.addTo(body).toString();
    }

    /** Renders a whole answer. */
    String completion(String requestId, String model, String text, ResponseSummary summary) {
        ObjectNode body = body(requestId, model, completionObject);
        putText(choice(body, summary.finishReason()), text, true);
        return summary.addTo(body).toString();
    }

    private static ObjectNode body(String requestId, String model, String object) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", requestId)
                .put("object", object)
                .put("model", model);
    }

    private static ObjectNode choice(ObjectNode body, String finishReason) {
        return body.putArray("choices").addObject().put("index", 0).put("finish_reason", finishReason);
    }
}

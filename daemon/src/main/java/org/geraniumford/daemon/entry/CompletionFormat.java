package org.geraniumford.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** The API formats of model requests and their responses. */
enum CompletionFormat {
    /** Chat completions: a list of messages in the request, a message in the response. */
    CHAT("chat.completion", "chat.completion.chunk") {
        @Override
        List<String> levels(JsonNode body) {
            return CallerRequestReader.messages(body);
        }

        @Override
        void putText(ObjectNode choice, String text, boolean complete) {
            ObjectNode message = choice.putObject(complete ? "message" : "delta");
            if (complete) {
                message.put("role", "assistant");
            }
            if (complete || !text.isEmpty()) {
                message.put("content", text);
            }
        }
    },
    /** Text completions: a prompt in the request, text in the response. */
    TEXT("text_completion", "text_completion") {
        @Override
        List<String> levels(JsonNode body) {
            return CallerRequestReader.prompt(body);
        }

        @Override
        void putText(ObjectNode choice, String text, boolean complete) {
            choice.put("text", text);
        }
    };

    /** The value of the field {@code object} in a complete response. */
    private final String completionObject;

    /** The value of the field {@code object} in each chunk of a streamed response. */
    private final String chunkObject;

    CompletionFormat(String completionObject, String chunkObject) {
        this.completionObject = completionObject;
        this.chunkObject = chunkObject;
    }

    // -- queries

    /**
     * Returns the prompt's levels, which are its consecutive parts, first to last.
     *
     * @param body the JSON body of a request
     * @throws org.geraniumford.core.verdict.RefusalException if the prompt is missing or not valid
     */
    abstract List<String> levels(JsonNode body);

    /**
     * Puts generated text into a choice of a response body.
     *
     * @param choice the choice
     * @param text the text
     * @param complete whether the text is the complete response rather than one chunk of a stream
     */
    abstract void putText(ObjectNode choice, String text, boolean complete);

    /** Returns the JSON body of one chunk of a streamed response. */
    String chunk(String requestId, String model, String text) {
        ObjectNode body = body(requestId, model, chunkObject);
        putText(choice(body, null), text, false);
        return body.toString();
    }

    /** Returns the JSON body of the last chunk of a streamed response, which has the summary and no text. */
    String lastChunk(String requestId, String model, ResponseSummary summary) {
        ObjectNode body = body(requestId, model, chunkObject);
        putText(choice(body, summary.finishReason()), "", false);
        return summary.addTo(body).toString();
    }

    /** Returns the JSON body of a complete response that is not streamed. */
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

    /** Adds the only choice to a response body. The finish reason is null in all chunks of a stream but the last. */
    private static ObjectNode choice(ObjectNode body, String finishReason) {
        return body.putArray("choices").addObject().put("index", 0).put("finish_reason", finishReason);
    }
}

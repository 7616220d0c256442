package org.geraniumford.daemon.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;

/** Builds the body of a request for a streamed chat completion. */
final class ChatBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String ROLE = "user";

    /** The number of bytes that the router adds to a message's content. */
    static final int MESSAGE_OVERHEAD_BYTES = toPromptText("").length();

    private ChatBody() {}

    /** Returns a message's text in the form that the router splits into blocks. */
    static String toPromptText(String content) {
        return ROLE + ": " + content + "\n";
    }

    /** Returns the body in JSON, with one message for each level of the prompt. */
    static String json(Scenario.Traffic traffic, List<String> levels) {
        List<Map<String, String>> messages = levels.stream()
                .map(text -> Map.of("role", ROLE, "content", text))
                .toList();
        try {
            return MAPPER.writeValueAsString(Map.of(
                    "model",
                    traffic.model(),
                    "messages",
                    messages,
                    "max_tokens",
                    traffic.maxTokens(),
                    "stream",
                    true,
                    "priority_class",
                    "check"));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the body of a chat completion as JSON", e);
        }
    }
}

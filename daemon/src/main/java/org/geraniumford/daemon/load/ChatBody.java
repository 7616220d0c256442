package org.geraniumford.daemon.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;

/** The body of a streamed chat completion. */
final class ChatBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String ROLE = "user";

    /** The bytes that the router adds to a message's text. */
    static final int MESSAGE_OVERHEAD_BYTES = toPromptText("").length();

    private ChatBody() {}

    /** Returns a message's text as the router splits it into pieces. */
    static String toPromptText(String content) {
        return ROLE + ": " + content + "\n";
    }

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
            throw new IllegalStateException("a map in memory can be written", e);
        }
    }
}

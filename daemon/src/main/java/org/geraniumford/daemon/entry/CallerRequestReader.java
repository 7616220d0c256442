package org.geraniumford.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;

/** Parses the JSON bodies of model requests. Unknown fields are ignored. */
final class CallerRequestReader {
    private static final ObjectReader READER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
            .build()
            .reader();

    private CallerRequestReader() {}

    // -- construction

    /**
     * Parses a body.
     *
     * @param format the API format of the requested path
     * @param body the body's text; empty if the body is not UTF-8
     * @return the request
     * @throws RefusalException with {@link Reason#MALFORMED_REQUEST} if the body is not valid; the detail names the
     *     invalid field
     */
    static CallerRequest read(CompletionFormat format, Optional<String> body) {
        JsonNode root = parse(body.orElseThrow(() -> malformed("the body is not UTF-8")));
        check(root.isObject(), "the body is not a JSON object");
        List<String> levels = format.levels(root);
        return new CallerRequest(
                textField(root, "model").orElseThrow(() -> malformed("model is missing")),
                levels,
                positiveIntField(root, "max_tokens"),
                booleanField(root, "stream"),
                textField(root, "priority_class"));
    }

    /** Returns the levels of a chat completion: one for each message, with the message's role as part of the text. */
    static List<String> messages(JsonNode root) {
        JsonNode messages = root.path("messages");
        check(messages.isArray() && !messages.isEmpty(), "messages is not an array with at least one element");
        return IntStream.range(0, messages.size())
                .mapToObj(index -> messageText(messages.get(index), "messages[" + index + "]"))
                .toList();
    }

    /** Returns the prompt of a text completion, as the only level. */
    static List<String> prompt(JsonNode root) {
        String prompt = textField(root, "prompt").orElseThrow(() -> malformed("prompt is missing"));
        check(!prompt.isEmpty(), "prompt is empty");
        return List.of(prompt);
    }

    private static String messageText(JsonNode message, String path) {
        check(message.path("role").isTextual(), path + ".role is not a string");
        check(message.path("content").isTextual(), path + ".content is not a string");
        return message.path("role").textValue() + ": " + message.path("content").textValue() + "\n";
    }

    private static JsonNode parse(String body) {
        try {
            return READER.readTree(body);
        } catch (JsonProcessingException e) {
            int column = e.getLocation() == null ? 0 : e.getLocation().getColumnNr();
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw malformed("the body is not JSON at line " + line + ", column " + column);
        }
    }

    // -- fields

    private static Optional<String> textField(JsonNode root, String field) {
        JsonNode value = root.path(field);
        check(isAbsent(value) || value.isTextual(), field + " is not a string");
        return Optional.ofNullable(value.textValue());
    }

    private static OptionalInt positiveIntField(JsonNode root, String field) {
        JsonNode value = root.path(field);
        if (isAbsent(value)) {
            return OptionalInt.empty();
        }
        check(value.isInt() && value.intValue() >= 1, field + " is not a whole number of at least 1");
        return OptionalInt.of(value.intValue());
    }

    private static boolean booleanField(JsonNode root, String field) {
        JsonNode value = root.path(field);
        check(isAbsent(value) || value.isBoolean(), field + " is not true or false");
        return value.booleanValue();
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private static void check(boolean condition, String detail) {
        if (!condition) {
            throw malformed(detail);
        }
    }

    private static RefusalException malformed(String detail) {
        return Refusal.notRun(Reason.MALFORMED_REQUEST, detail).toException();
    }
}

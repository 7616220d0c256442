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

/** Reads the bodies of model requests. Fields that the router does not know are passed over. */
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
     * Reads a body.
     *
     * @param format what the path takes
     * @param body the body; empty if it is not UTF-8
     * @return the request
     * @throws RefusalException if the body cannot be understood; the detail names the field
     */
    static CallerRequest read(CompletionFormat format, Optional<String> body) {
        JsonNode root = parse(body.orElseThrow(() -> malformed("the body is not UTF-8")));
        check(root.isObject(), "the body is not a JSON object");
        List<String> levels = format.levels(root);
        return new CallerRequest(
                text(root, "model").orElseThrow(() -> malformed("model is missing")),
                levels,
                positive(root, "max_tokens"),
                flag(root, "stream"),
                text(root, "priority_class"));
    }

    /** Reads the levels of a chat: each message is one, and its role is part of the text. */
    static List<String> messages(JsonNode root) {
        JsonNode messages = root.path("messages");
        check(messages.isArray() && !messages.isEmpty(), "messages is not an array with at least one element");
        return IntStream.range(0, messages.size())
                .mapToObj(index -> message(messages.get(index), "messages[" + index + "]"))
                .toList();
    }

    /** Reads a prompt of one level. */
    static List<String> prompt(JsonNode root) {
        String prompt = text(root, "prompt").orElseThrow(() -> malformed("prompt is missing"));
        check(!prompt.isEmpty(), "prompt is empty");
        return List.of(prompt);
    }

    private static String message(JsonNode message, String where) {
        check(message.path("role").isTextual(), where + ".role is not a string");
        check(message.path("content").isTextual(), where + ".content is not a string");
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

    private static Optional<String> text(JsonNode root, String field) {
        JsonNode value = root.path(field);
        check(absent(value) || value.isTextual(), field + " is not a string");
        return Optional.ofNullable(value.textValue());
    }

    private static OptionalInt positive(JsonNode root, String field) {
        JsonNode value = root.path(field);
        if (absent(value)) {
            return OptionalInt.empty();
        }
        check(value.isInt() && value.intValue() >= 1, field + " is not a whole number of at least 1");
        return OptionalInt.of(value.intValue());
    }

    private static boolean flag(JsonNode root, String field) {
        JsonNode value = root.path(field);
        check(absent(value) || value.isBoolean(), field + " is not true or false");
        return value.booleanValue();
    }

    private static boolean absent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private static void check(boolean holds, String detail) {
        if (!holds) {
            throw malformed(detail);
        }
    }

    private static RefusalException malformed(String detail) {
        return Refusal.notRun(Reason.MALFORMED_REQUEST, detail).toException();
    }
}

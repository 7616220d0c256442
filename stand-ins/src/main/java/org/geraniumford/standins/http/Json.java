package org.geraniumford.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.geraniumford.transport.http.HttpExchange;

/** Records as JSON, with names in snake case. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .build();

    private Json() {}

    /**
     * Reads a request's body.
     *
     * @param exchange the request
     * @param type the record to read
     * @param <T> its type
     * @return the record
     * @throws IllegalArgumentException if the body is not such a record
     */
    public static <T> T readBody(HttpExchange exchange, Class<T> type) {
        String text = exchange.bodyText().orElseThrow(() -> new IllegalArgumentException("the body is not UTF-8"));
        return read(text, type);
    }

    /**
     * Reads a record.
     *
     * @param text the JSON text
     * @param type the record to read
     * @param <T> its type
     * @return the record
     * @throws IllegalArgumentException if the text is not such a record
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new IllegalArgumentException("the body is null");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a " + type.getSimpleName() + ": " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Writes a value.
     *
     * @param value a record, map or list
     * @return its JSON text on one line
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a value in memory can be written", e);
        }
    }

    /**
     * Answers a request.
     *
     * @param exchange the request
     * @param status the HTTP status
     * @param value the body: a record, map or list
     */
    public static void respond(HttpExchange exchange, int status, Object value) {
        exchange.respondJson(status, write(value));
    }

    /**
     * Answers a request with an error.
     *
     * @param exchange the request
     * @param status the HTTP status
     * @param error what was wrong
     */
    public static void respondError(HttpExchange exchange, int status, String error) {
        respond(exchange, status, new ErrorBody(error));
    }

    /**
     * The body of an error answer.
     *
     * @param error what was wrong
     */
    public record ErrorBody(String error) {}
}

package org.geraniumford.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.geraniumford.transport.http.HttpExchange;

/**
 * Reads and writes records as JSON, with names in snake case. Reading ignores unknown names and accepts enum constants
 * in any case.
 */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .build();

    private Json() {}

    /**
     * Reads the body of a request.
     *
     * @param exchange the request
     * @param type the class of the record
     * @param <T> the type of the record
     * @return the record
     * @throws IllegalArgumentException if the body is not UTF-8 or cannot be read as that record
     */
    public static <T> T readBody(HttpExchange exchange, Class<T> type) {
        String text = exchange.bodyText().orElseThrow(() -> new IllegalArgumentException("the body is not UTF-8"));
        return read(text, type);
    }

    /**
     * Reads a record from JSON.
     *
     * @param text the JSON text
     * @param type the class of the record
     * @param <T> the type of the record
     * @return the record
     * @throws IllegalArgumentException if the text is not JSON or cannot be read as that record
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
     * Writes a value as JSON.
     *
     * @param value a record, map or list
     * @return the JSON text on one line
     * @throws IllegalStateException if the value cannot be written
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the value cannot be written as JSON", e);
        }
    }

    /**
     * Responds to a request with JSON.
     *
     * @param exchange the request
     * @param status the HTTP status
     * @param value the body: a record, map or list
     */
    public static void respond(HttpExchange exchange, int status, Object value) {
        exchange.respondJson(status, write(value));
    }

    /**
     * Responds to a request with an error.
     *
     * @param exchange the request
     * @param status the HTTP status
     * @param error the name or the message of the error
     */
    public static void respondError(HttpExchange exchange, int status, String error) {
        respond(exchange, status, new ErrorBody(error));
    }

    /**
     * The body of an error response.
     *
     * @param error the name or the message of the error
     */
    public record ErrorBody(String error) {}
}

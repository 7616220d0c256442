package org.geraniumford.transport.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.stream.StreamSupport;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheSnapshot;
import org.geraniumford.core.prefix.BlockKey;

/** Reads and writes the JSON bodies of the engine's interface. Reading fails with {@link IllegalArgumentException}. */
final class EngineJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineJson() {}

    // -- writing

    static String completion(EngineRequest request) {
        ObjectNode body = MAPPER.createObjectNode()
                .put("request_id", request.requestId())
                .put("model", request.model())
                .put("weights_digest", request.scope().weightsDigest())
                .put("cache_salt", request.scope().customer())
                .put("adapter", request.scope().adapter())
                .put("prompt", request.prompt())
                .put("priority", request.priority())
                .put("max_tokens", request.maxTokens())
                .put("resume_offset", request.resumeOffset())
                .put("stream", true);
        ArrayNode keys = body.putArray("piece_keys");
        ArrayNode tokens = body.putArray("piece_tokens");
        request.blocks().forEach(block -> {
            keys.add(block.key().toHex());
            tokens.add(block.tokens());
        });
        return body.toString();
    }

    static String order(EngineOrder order) {
        return MAPPER.createObjectNode()
                .put("term", order.term())
                .put("sequence", order.sequence())
                .put("kind", "load_version")
                .put("value", order.version())
                .put("weights_digest", order.weightsDigest())
                .toString();
    }

    // -- reading

    static CompletionEvent completionEvent(String json) {
        JsonNode node = parse(json);
        String kind = text(node, "kind");
        return switch (kind) {
            case "started" ->
                new CompletionEvent.Started(
                        number(node, "incarnation"), text(node, "weights_digest"), (int) number(node, "cached_pieces"));
            case "token" ->
                new CompletionEvent.Token(
                        (int) number(node, "offset"),
                        text(node, "text"),
                        number(node, "incarnation"),
                        text(node, "weights_digest"));
            case "end" ->
                new CompletionEvent.End(
                        text(node, "finish_reason"),
                        (int) number(node, "offset"),
                        (int) number(node, "prompt_tokens"),
                        (int) number(node, "cached_tokens"));
            default -> throw new IllegalArgumentException("unknown kind of answer event: " + kind);
        };
    }

    static EngineState state(String json) {
        JsonNode node = parse(json);
        return new EngineState(
                number(node, "incarnation"),
                text(node, "model_version"),
                text(node, "weights_digest"),
                node.path("running").asInt(),
                node.path("waiting").asInt(),
                node.path("capacity_pieces").asInt(),
                number(node, "event_sequence"),
                node.path("checks_fencing").asBoolean());
    }

    static CacheSnapshot snapshot(String json) {
        JsonNode node = parse(json);
        return new CacheSnapshot(number(node, "incarnation"), number(node, "event_sequence"), keys(node));
    }

    static CacheEvent cacheEvent(String json) {
        JsonNode node = parse(json);
        return new CacheEvent(
                number(node, "incarnation"),
                number(node, "sequence"),
                CacheEvent.Kind.valueOf(text(node, "kind").toUpperCase(Locale.ROOT)),
                keys(node));
    }

    static String weightsDigest(String json) {
        return text(parse(json), "weights_digest");
    }

    /** Returns the error code in the body of an error response; empty if the body has none or is not JSON. */
    static String error(String json) {
        try {
            return parse(json).path("error").asText("");
        } catch (IllegalArgumentException e) {
            return "";
        }
    }

    private static List<BlockKey> keys(JsonNode node) {
        return StreamSupport.stream(node.path("keys").spliterator(), false)
                .map(key -> BlockKey.ofHex(key.asText()))
                .toList();
    }

    private static JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " is missing or not text");
        }
        return value.asText();
    }

    private static long number(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber()) {
            throw new IllegalArgumentException(field + " is missing or not a whole number");
        }
        return value.asLong();
    }
}

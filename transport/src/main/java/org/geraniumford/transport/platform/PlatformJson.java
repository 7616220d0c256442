package org.geraniumford.transport.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostKind;
import org.geraniumford.core.membership.HostState;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TableRow;
import org.geraniumford.core.store.TransactionResult;

/**
 * Reads and writes the JSON bodies of the platform's interface. Reading fails with {@link MalformedAnswerException}.
 */
final class PlatformJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PlatformJson() {}

    // -- reading

    static TableRow row(String name, String body) {
        JsonNode node = parse(body);
        return new TableRow(name, number(node, "version"), text(node, "value"));
    }

    static List<TableRow> rows(String body) {
        return items(parse(body), "rows")
                .map(node -> new TableRow(text(node, "row"), number(node, "version"), text(node, "value")))
                .toList();
    }

    static TransactionResult versions(String body) {
        return new TransactionResult.Committed(
                items(parse(body), "versions").map(JsonNode::asLong).toList());
    }

    static TransactionResult conflicts(String body) {
        return new TransactionResult.Conflicted(
                items(parse(body), "conflicts").map(PlatformJson::conflict).toList());
    }

    static List<Host> hosts(String body) {
        return items(parse(body), "hosts").map(PlatformJson::host).toList();
    }

    static String weightsDigest(String body) {
        return text(parse(body), "weights_digest");
    }

    /** Reads a conflict; a missing version becomes 0 and a missing value empty, because the row may not exist. */
    private static TransactionResult.Conflict conflict(JsonNode node) {
        return new TransactionResult.Conflict(
                text(node, "table"),
                text(node, "row"),
                node.path("version").asLong(0),
                Optional.of(node.path("value")).filter(JsonNode::isTextual).map(JsonNode::textValue));
    }

    private static Host host(JsonNode node) {
        return new Host(
                text(node, "name"),
                constant(HostKind.class, text(node, "kind")),
                text(node, "address"),
                text(node, "failure_domain"),
                constant(HostState.class, text(node, "state")));
    }

    // -- writing

    static String transaction(List<TableOperation> operations) {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode array = body.putArray("operations");
        operations.forEach(operation -> add(array.addObject(), operation));
        return body.toString();
    }

    private static void add(ObjectNode node, TableOperation operation) {
        node.put("table", operation.table());
        node.put("row", operation.row());
        node.put("expect", operation.expectedVersion());
        node.put("value", operation.value().orElse(null));
    }

    // -- fields

    private static JsonNode parse(String body) {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw new MalformedAnswerException("the platform's answer is not JSON", e);
        }
    }

    private static Stream<JsonNode> items(JsonNode node, String field) {
        JsonNode array = node.path(field);
        if (!array.isArray()) {
            throw new MalformedAnswerException("the platform's answer has no list " + field, null);
        }
        return StreamSupport.stream(array.spliterator(), false);
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new MalformedAnswerException("the platform's answer has no text " + field, null);
        }
        return value.textValue();
    }

    private static long number(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.canConvertToLong()) {
            throw new MalformedAnswerException("the platform's answer has no number " + field, null);
        }
        return value.longValue();
    }

    private static <E extends Enum<E>> E constant(Class<E> type, String label) {
        try {
            return Enum.valueOf(type, label.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new MalformedAnswerException("the platform's answer has an unknown " + type.getSimpleName(), e);
        }
    }
}

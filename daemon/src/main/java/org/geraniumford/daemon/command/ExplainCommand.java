package org.geraniumford.daemon.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Prints how an entry routed and served a request, from the first of the given processes that has a record of it. */
final class ExplainCommand implements Command {
    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "--at IP:PORT,... REQUEST-ID";
    }

    @Override
    public String summary() {
        return "Shows a request's candidates with their offers, the choice and its cost, and each attempt.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        OperatorOptions.declare(parser);
    }

    @Override
    public ExitCode run(OptionSet options, Console console) throws CommandException {
        String requestId = requestId(options.nonOptionArguments());
        try (OperatorClient client = OperatorClient.open()) {
            for (InetSocketAddress address : OperatorOptions.addresses(options)) {
                String json = client.explain(address, requestId);
                if (json != null) {
                    console.out().println(OperatorOptions.isJson(options) ? json : outline(json));
                    return ExitCode.OK;
                }
            }
        }
        throw CommandException.failed("no process has a record of " + requestId);
    }

    private static String requestId(List<?> arguments) throws CommandException {
        if (arguments.size() != 1
                || !REQUEST_ID.matcher(String.valueOf(arguments.get(0))).matches()) {
            throw CommandException.usage("explain: give one request id: letters, digits, '.', '-' or '_'");
        }
        return String.valueOf(arguments.get(0));
    }

    // -- rendering

    /** Renders JSON as indented lines, one for each field or list item. */
    private static String outline(String json) throws CommandException {
        try {
            StringBuilder text = new StringBuilder();
            appendChildren(text, new ObjectMapper().readTree(json), 0);
            return text.toString().stripTrailing();
        } catch (JsonProcessingException e) {
            throw CommandException.failed("the response is not JSON");
        }
    }

    /** Appends the fields of an object or the items of a list, indented by two spaces for each level of depth. */
    private static void appendChildren(StringBuilder text, JsonNode node, int depth) {
        String indent = "  ".repeat(depth);
        if (node.isObject()) {
            node.properties().forEach(field -> appendField(text, indent, field.getKey(), field.getValue(), depth));
        } else {
            node.forEach(item -> appendField(text, indent, "-", item, depth));
        }
    }

    private static void appendField(StringBuilder text, String indent, String name, JsonNode value, int depth) {
        text.append(indent).append(name);
        if (value.isContainerNode()) {
            text.append('\n');
            appendChildren(text, value, depth + 1);
        } else {
            text.append(' ').append(value.asText()).append('\n');
        }
    }
}

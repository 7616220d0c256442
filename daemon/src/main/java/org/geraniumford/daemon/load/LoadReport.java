package org.geraniumford.daemon.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Formats results as tables, JSON and Markdown. */
public final class LoadReport {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(SerializationFeature.INDENT_OUTPUT)
            .build();
    private static final String ROW_FORMAT = "%-14s %8s %9s %7s %9s %9s %9s %7s %7s %6s";

    private LoadReport() {}

    // -- queries

    /**
     * Returns a value as JSON.
     *
     * @param result a result, or a list of results
     * @return the indented JSON text, with keys in snake case
     */
    public static String json(Object result) {
        try {
            return MAPPER.writeValueAsString(result);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a result as JSON", e);
        }
    }

    /**
     * Returns a result as a table, with one row for all requests and one for each customer.
     *
     * @param result the result
     * @return the lines of the table, followed by a line for each reason of a refusal
     */
    public static String table(LoadResult result) {
        Stream<String> header = Stream.of(
                "scenario=%s label=%s seed=%d".formatted(result.scenario(), result.label(), result.seed()),
                ROW_FORMAT.formatted(
                        "", "requests", "complete", "good", "p50 ms", "p95 ms", "p99 ms", "hit", "bound", "jain"));
        Stream<String> all = Stream.of(ROW_FORMAT.formatted(
                "all",
                result.requests(),
                result.completed(),
                result.good(),
                formatMillis(result.firstToken().p50Millis()),
                formatMillis(result.firstToken().p95Millis()),
                formatMillis(result.firstToken().p99Millis()),
                formatFraction(result.hitRate()),
                formatFraction(result.bound().hitRate()),
                formatFraction(result.jainIndex())));
        Stream<String> customers = result.customers().stream().map(LoadReport::customerRow);
        Stream<String> refusals = result.refusals().entrySet().stream()
                .map(entry -> "refused reason=" + entry.getKey() + " count=" + entry.getValue());
        return Stream.of(header, all, customers, refusals)
                .flatMap(lines -> lines)
                .collect(Collectors.joining("\n"));
    }

    private static String customerRow(LoadResult.CustomerResult customer) {
        return ROW_FORMAT
                .formatted(
                        customer.name(),
                        customer.requests(),
                        customer.completed(),
                        "",
                        formatMillis(customer.firstToken().p50Millis()),
                        formatMillis(customer.firstToken().p95Millis()),
                        formatMillis(customer.firstToken().p99Millis()),
                        "",
                        "",
                        "")
                .stripTrailing();
    }

    /**
     * Returns rows of cells as a Markdown table.
     *
     * @param header the columns' names
     * @param rows the rows, each with a cell for each column
     * @return the lines of the table
     */
    public static String markdown(List<String> header, List<List<String>> rows) {
        List<String> delimiterRow = header.stream().map(name -> "---").toList();
        return Stream.concat(Stream.of(header, delimiterRow), rows.stream())
                .map(cells -> "| " + String.join(" | ", cells) + " |")
                .collect(Collectors.joining("\n"));
    }

    /**
     * Formats a duration.
     *
     * @param millis the duration in milliseconds
     * @return the duration rounded to whole milliseconds, without a unit
     */
    public static String formatMillis(double millis) {
        return "%.0f".formatted(millis);
    }

    /**
     * Formats a fraction.
     *
     * @param fraction the fraction, usually from 0 to 1
     * @return the fraction rounded to three decimals
     */
    public static String formatFraction(double fraction) {
        return "%.3f".formatted(fraction);
    }
}

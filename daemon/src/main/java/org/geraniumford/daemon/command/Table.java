package org.geraniumford.daemon.command;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A text table with aligned columns. */
final class Table {
    private final List<List<String>> rows = new ArrayList<>();

    private Table() {}

    static Table of(String... headings) {
        Table table = new Table();
        table.rows.add(List.of(headings));
        return table;
    }

    /** Adds a row with a cell for each heading; each cell is rendered by {@link String#valueOf(Object)}. */
    Table addRow(Object... cells) {
        rows.add(List.of(cells).stream().map(String::valueOf).toList());
        return this;
    }

    /** Renders the rows as lines, with two spaces between columns. */
    String render() {
        int columns = rows.get(0).size();
        List<Integer> widths = IntStream.range(0, columns)
                .mapToObj(column -> rows.stream()
                        .mapToInt(row -> row.get(column).length())
                        .max()
                        .orElse(0))
                .toList();
        return rows.stream().map(row -> formatRow(row, widths)).collect(Collectors.joining("\n"));
    }

    private static String formatRow(List<String> row, List<Integer> widths) {
        return IntStream.range(0, row.size())
                .mapToObj(column -> row.get(column)
                        + " ".repeat(widths.get(column) - row.get(column).length()))
                .collect(Collectors.joining("  "))
                .stripTrailing();
    }
}

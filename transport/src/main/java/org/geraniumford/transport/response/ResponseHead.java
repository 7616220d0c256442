package org.geraniumford.transport.response;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** The head of a response as its lines: the status line and the lines of the header fields. Immutable. */
final class ResponseHead {
    private static final String LINE_END = "\r\n";

    private final String text;
    private final List<String> lines;

    private ResponseHead(String text) {
        this.text = text;
        this.lines = List.of(text.split(LINE_END, -1));
    }

    // -- construction

    /**
     * Splits a head into its lines.
     *
     * @param text the head as ISO 8859-1, without the empty line at its end
     * @return the head
     */
    static ResponseHead of(String text) {
        return new ResponseHead(requireNonNull(text, "text is null"));
    }

    // -- queries

    String text() {
        return text;
    }

    String statusLine() {
        return lines.get(0);
    }

    /** Returns the lines of the header fields, whether they are well-formed or not. */
    Stream<String> fieldLines() {
        return lines.stream().skip(1);
    }

    /** Returns the values of a field, without the white space around them. */
    List<String> values(String name) {
        return fieldLines()
                .filter(line -> line.length() > name.length() && line.charAt(name.length()) == ':')
                .filter(line -> line.regionMatches(true, 0, name, 0, name.length()))
                .map(line -> line.substring(name.length() + 1).strip())
                .toList();
    }

    /** Returns the first reason for which this head cannot be believed; empty if it is sound. */
    Optional<ResponseHeadFault> fault() {
        return Arrays.stream(ResponseHeadFault.values())
                .filter(fault -> fault.appliesTo(this))
                .findFirst();
    }
}

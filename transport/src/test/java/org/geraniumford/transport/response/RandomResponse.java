package org.geraniumford.transport.response;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A whole and sound response, made of a random sequence. */
final class RandomResponse {
    private static final int MAX_FIELDS = 5;
    private static final int MAX_PARTS = 6;
    private static final int MAX_CHUNKS = 3;
    private static final String LINE_END = "\r\n";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1[.][01] [0-9]{3}");
    private static final List<String> STATUSES =
            List.of("200", "201", "206", "204", "301", "304", "400", "404", "408", "421", "429", "500", "502", "503");
    private static final List<String> NAMES =
            List.of("Content-Type", "Server", "Keep-Alive", "Connection", "X", "Date", "Content-Lengths", "HTTP");
    private static final List<String> PARTS = List.of(
            "a",
            "Z",
            " ",
            "\t",
            "0",
            "200",
            ":",
            ",",
            "HTTP/1.1",
            "HTTP/",
            "OK",
            "\u00e4",
            "\u0080",
            "\u00ff",
            "Name: v");

    /** Ways to say where the body ends. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    private final Random random;
    private final Framing framing;
    private final String status;
    private final List<String> fields = new ArrayList<>();
    private final List<String> interim;
    private final String statusLine;
    private final List<String> chunks;

    private RandomResponse(Random random) {
        this.random = random;
        this.framing = oneOf(List.of(Framing.values()));
        this.status = oneOf(STATUSES);
        this.statusLine = version() + status + " " + text();
        this.interim = random.nextInt(4) == 0 ? List.of("HTTP/1.1 103 " + text(), field()) : List.of();
        this.chunks = mayHaveBody()
                ? IntStream.range(0, random.nextInt(MAX_CHUNKS))
                        .mapToObj(i -> "b" + text() + LINE_END + LINE_END)
                        .toList()
                : List.of();
        addFields();
    }

    static RandomResponse of(Random random) {
        return new RandomResponse(random);
    }

    /** Returns the version; HTTP/1.0 has no chunks. */
    private String version() {
        return framing != Framing.CHUNKED && random.nextBoolean() ? "HTTP/1.0 " : "HTTP/1.1 ";
    }

    private void addFields() {
        IntStream.range(0, random.nextInt(MAX_FIELDS)).forEach(i -> fields.add(field()));
        if (framing == Framing.LENGTH) {
            insertField("Content-Length: " + body().length());
        } else if (framing == Framing.CHUNKED && mayHaveBody()) {
            insertField("Transfer-Encoding: chunked");
        }
    }

    private void insertField(String field) {
        fields.add(random.nextInt(fields.size() + 1), field);
    }

    private String field() {
        return oneOf(NAMES) + ": " + text();
    }

    /** Returns a text for a phrase or a value, without white space around it, that holds no status line. */
    private String text() {
        String text = IntStream.range(0, random.nextInt(MAX_PARTS))
                .mapToObj(i -> oneOf(PARTS))
                .collect(Collectors.joining())
                .strip();
        return STATUS_LINE.matcher(text).find() ? "" : text;
    }

    private <T> T oneOf(List<T> values) {
        return values.get(random.nextInt(values.size()));
    }

    // -- queries

    boolean isSuccess() {
        return status.startsWith("2");
    }

    private boolean mayHaveBody() {
        return !status.equals("204") && !status.equals("304");
    }

    /** Returns whether the response says where it ends, so that another one may follow. */
    boolean isEndMarked() {
        return framing != Framing.CLOSE || !mayHaveBody();
    }

    String body() {
        return String.join("", chunks);
    }

    /** Returns the head of the final response as the decoder should report it. */
    String head() {
        return Stream.concat(Stream.of(statusLine), fields.stream()).collect(Collectors.joining(LINE_END));
    }

    /** Returns all heads, the interim response's first. */
    List<String> heads() {
        return interim.isEmpty() ? List.of(head()) : List.of(String.join(LINE_END, interim), head());
    }

    /** Returns the bytes up to the end of the head, as ISO 8859-1. */
    String bytesOfHeads() {
        return heads().stream().map(head -> head + LINE_END + LINE_END).collect(Collectors.joining());
    }

    /** Returns all bytes, as ISO 8859-1. */
    String bytes() {
        return bytesOfHeads() + bytesOfBody();
    }

    private String bytesOfBody() {
        if (framing != Framing.CHUNKED || !mayHaveBody()) {
            return body();
        }
        return chunks.stream()
                        .map(chunk -> Integer.toHexString(chunk.length()) + LINE_END + chunk + LINE_END)
                        .collect(Collectors.joining())
                + "0" + LINE_END + LINE_END;
    }

    @Override
    public String toString() {
        return bytes();
    }
}

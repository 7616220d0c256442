package org.geraniumford.core.stream;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.geraniumford.core.text.LineField;

/**
 * Streams that are recorded together, in one row of the store.
 *
 * @param recordedMillis when they were recorded, in milliseconds of the clock that all entries share
 * @param origins where each of them was begun
 */
public record StreamBatch(long recordedMillis, List<StreamOrigin> origins) {
    private static final String SEPARATOR = " ";
    private static final int FIELDS = 4;
    private static final int HEX = 16;

    /** Copies the list. */
    public StreamBatch {
        origins = List.copyOf(origins);
    }

    // -- construction

    /**
     * Decodes a batch.
     *
     * @param text an encoded batch
     * @return the batch, or empty if the text is not one
     */
    public static Optional<StreamBatch> decode(String text) {
        List<String> lines = text.lines().toList();
        try {
            return lines.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new StreamBatch(
                            Long.parseLong(lines.get(0)),
                            lines.stream()
                                    .skip(1)
                                    .map(line -> decodeOrigin(line.split(SEPARATOR, -1)))
                                    .toList()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static StreamOrigin decodeOrigin(String[] fields) {
        if (fields.length != FIELDS) {
            throw new IllegalArgumentException("a line does not have " + FIELDS + " fields");
        }
        return new StreamOrigin(
                Long.parseUnsignedLong(fields[0], HEX),
                LineField.decode(fields[1]),
                LineField.decode(fields[2]),
                Long.parseLong(fields[3]));
    }

    // -- queries

    /**
     * Encodes the batch.
     *
     * @return a line with the time, and one for each stream
     */
    public String encode() {
        return origins.stream()
                .map(StreamBatch::encodeOrigin)
                .collect(Collectors.joining("", String.valueOf(recordedMillis), ""));
    }

    private static String encodeOrigin(StreamOrigin origin) {
        return '\n'
                + String.join(
                        SEPARATOR,
                        Long.toHexString(origin.requestKey()),
                        LineField.encode(origin.service()),
                        LineField.encode(origin.softwareVersion()),
                        String.valueOf(origin.begunMillis()));
    }
}

package org.geraniumford.transport.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of server-sent events into the data of its events. The bytes may arrive in chunks of any size. The
 * data lines of one event are joined without line breaks, and its other fields are ignored.
 */
final class ServerSentEventDecoder {
    private static final String DATA_FIELD = "data:";

    private final int maxEventBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();

    private ServerSentEventDecoder(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    // -- construction

    static ServerSentEventDecoder of(int maxEventBytes) {
        return new ServerSentEventDecoder(maxEventBytes);
    }

    // -- commands

    /**
     * Reads the next bytes of the stream.
     *
     * @param bytes the bytes, which may begin and end within an event
     * @return the data of the events that these bytes complete
     * @throws IllegalArgumentException if an event exceeds the maximum size
     */
    List<String> decode(byte[] bytes) {
        List<String> events = new ArrayList<>();
        for (byte next : bytes) {
            if (next == '\n') {
                endLine(events);
            } else if (next != '\r') {
                append(next);
            }
        }
        return events;
    }

    private void append(byte next) {
        if (line.size() + data.length() >= maxEventBytes) {
            throw new IllegalArgumentException("an event exceeds " + maxEventBytes + " bytes");
        }
        line.write(next);
    }

    private void endLine(List<String> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.startsWith(DATA_FIELD)) {
            data.append(text.substring(DATA_FIELD.length()).strip());
        } else if (text.isEmpty() && data.length() > 0) {
            events.add(data.toString());
            data.setLength(0);
        }
    }
}

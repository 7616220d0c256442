package org.geraniumford.transport.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.geraniumford.core.stream.EventFramer;

/**
 * Splits a stream of server-sent events into the data of its events. The bytes may arrive in chunks of any size. The
 * data lines of one event are joined without line breaks, and its other fields are ignored.
 */
final class ServerSentEventDecoder {
    private static final String DATA_FIELD = "data:";

    private final int maxEventBytes;
    private final EventFramer framer;

    private ServerSentEventDecoder(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
        this.framer = EventFramer.ofLimit(maxEventBytes);
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
        StringBuilder data = new StringBuilder();
        for (String line : new String(framer.feed(bytes), StandardCharsets.UTF_8).split("\r\n|\r|\n", -1)) {
            if (line.startsWith(DATA_FIELD)) {
                data.append(line.substring(DATA_FIELD.length()).strip());
            } else if (line.isEmpty() && data.length() > 0) {
                events.add(data.toString());
                data.setLength(0);
            }
        }
        if (framer.isOversized()) {
            throw new IllegalArgumentException("an event exceeds " + maxEventBytes + " bytes");
        }
        return events;
    }
}

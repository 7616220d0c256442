package org.geraniumford.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a byte stream of server-sent events at event boundaries, so that a stream that breaks within an event can go on
 * elsewhere after the last whole one. Not thread-safe.
 */
public final class EventFramer {
    private static final byte[] EMPTY = {};
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] partialEvent = EMPTY;
    private Optional<String> lastEventId = Optional.empty();

    private EventFramer() {}

    // -- construction

    /**
     * Creates a framer at the start of a stream.
     *
     * @return a new framer
     */
    public static EventFramer empty() {
        return new EventFramer();
    }

    // -- queries

    /**
     * Returns the identifier of the last whole event.
     *
     * @return the identifier, or empty before the first event that bears one
     */
    public Optional<String> lastEventId() {
        return lastEventId;
    }

    /**
     * Says whether bytes of an unfinished event are held back.
     *
     * @return true within an event
     */
    public boolean hasPartialEvent() {
        return partialEvent.length > 0;
    }

    // -- commands

    /**
     * Takes bytes of the stream.
     *
     * @param bytes the next bytes
     * @return the events that are now whole, as they came; empty if there are none
     */
    public byte[] feed(byte[] bytes) {
        byte[] all = partialEvent.length == 0 ? bytes : concat(partialEvent, bytes);
        int end = endOfLastEvent(all);
        if (end == 0) {
            partialEvent = all;
            return EMPTY;
        }
        byte[] whole = end == all.length ? all : Arrays.copyOf(all, end);
        partialEvent = end == all.length ? EMPTY : Arrays.copyOfRange(all, end, all.length);
        parseIds(whole);
        return whole;
    }

    /** Forgets the unfinished event, as when the stream goes on elsewhere. */
    public void discardPartialEvent() {
        partialEvent = EMPTY;
    }

    private static byte[] concat(byte[] first, byte[] second) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(first.length + second.length);
        out.writeBytes(first);
        out.writeBytes(second);
        return out.toByteArray();
    }

    /** Finds the end of the last event: an empty line after a line. */
    private static int endOfLastEvent(byte[] bytes) {
        for (int i = bytes.length - 1; i > 0; i--) {
            if (bytes[i] == '\n' && isEventEnd(bytes, i)) {
                return i + 1;
            }
        }
        return 0;
    }

    private static boolean isEventEnd(byte[] bytes, int at) {
        return bytes[at - 1] == '\n' || (at > 1 && bytes[at - 1] == '\r' && bytes[at - 2] == '\n');
    }

    private void parseIds(byte[] events) {
        int lineStart = 0;
        for (int i = 0; i < events.length; i++) {
            if (events[i] == '\n') {
                parseId(events, lineStart, i);
                lineStart = i + 1;
            }
        }
    }

    private void parseId(byte[] events, int from, int to) {
        int value = from + ID_FIELD.length;
        if (value <= to && Arrays.equals(events, from, value, ID_FIELD, 0, ID_FIELD.length)) {
            lastEventId = Optional.of(new String(events, value, to - value, StandardCharsets.UTF_8).strip());
        }
    }
}

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
    private static final byte[] NOTHING = {};
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] partial = NOTHING;
    private Optional<String> lastId = Optional.empty();

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
    public Optional<String> lastId() {
        return lastId;
    }

    /**
     * Says whether bytes of an unfinished event are held back.
     *
     * @return true within an event
     */
    public boolean withinEvent() {
        return partial.length > 0;
    }

    // -- commands

    /**
     * Takes bytes of the stream.
     *
     * @param bytes the next bytes
     * @return the events that are now whole, as they came; empty if there are none
     */
    public byte[] take(byte[] bytes) {
        byte[] all = partial.length == 0 ? bytes : joined(partial, bytes);
        int end = endOfLastEvent(all);
        if (end == 0) {
            partial = all;
            return NOTHING;
        }
        byte[] whole = end == all.length ? all : Arrays.copyOf(all, end);
        partial = end == all.length ? NOTHING : Arrays.copyOfRange(all, end, all.length);
        noteIds(whole);
        return whole;
    }

    /** Forgets the unfinished event, as when the stream goes on elsewhere. */
    public void dropPartial() {
        partial = NOTHING;
    }

    private static byte[] joined(byte[] first, byte[] second) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(first.length + second.length);
        out.writeBytes(first);
        out.writeBytes(second);
        return out.toByteArray();
    }

    /** Finds the end of the last event: an empty line after a line. */
    private static int endOfLastEvent(byte[] bytes) {
        for (int i = bytes.length - 1; i > 0; i--) {
            if (bytes[i] == '\n' && endsEvent(bytes, i)) {
                return i + 1;
            }
        }
        return 0;
    }

    private static boolean endsEvent(byte[] bytes, int at) {
        return bytes[at - 1] == '\n' || (at > 1 && bytes[at - 1] == '\r' && bytes[at - 2] == '\n');
    }

    private void noteIds(byte[] events) {
        int lineStart = 0;
        for (int i = 0; i < events.length; i++) {
            if (events[i] == '\n') {
                noteId(events, lineStart, i);
                lineStart = i + 1;
            }
        }
    }

    private void noteId(byte[] events, int from, int to) {
        int value = from + ID_FIELD.length;
        if (value <= to && Arrays.equals(events, from, value, ID_FIELD, 0, ID_FIELD.length)) {
            lastId = Optional.of(new String(events, value, to - value, StandardCharsets.UTF_8).strip());
        }
    }
}

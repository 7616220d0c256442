package org.geraniumford.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a byte stream of server-sent events at event boundaries, so that a stream that breaks within an event can be
 * resumed at another server after the last complete event. Not thread-safe.
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
     * Returns the identifier of the last complete event that has one.
     *
     * @return the identifier, or empty before the first such event
     */
    public Optional<String> lastEventId() {
        return lastEventId;
    }

    /**
     * Returns whether bytes of an incomplete event are buffered.
     *
     * @return true within an event
     */
    public boolean hasPartialEvent() {
        return partialEvent.length > 0;
    }

    // -- commands

    /**
     * Appends bytes of the stream.
     *
     * @param bytes the next bytes
     * @return the bytes of the events that are now complete, unchanged; empty if there are none
     */
    public byte[] feed(byte[] bytes) {
        byte[] all = partialEvent.length == 0 ? bytes : concat(partialEvent, bytes);
        int end = endOfLastEvent(all);
        if (end == 0) {
            partialEvent = all;
            return EMPTY;
        }
        byte[] complete = end == all.length ? all : Arrays.copyOf(all, end);
        partialEvent = end == all.length ? EMPTY : Arrays.copyOfRange(all, end, all.length);
        updateLastEventId(complete);
        return complete;
    }

    /** Discards the bytes of an incomplete event, because the server that resumes the stream sends the whole event. */
    public void discardPartialEvent() {
        partialEvent = EMPTY;
    }

    private static byte[] concat(byte[] first, byte[] second) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(first.length + second.length);
        out.writeBytes(first);
        out.writeBytes(second);
        return out.toByteArray();
    }

    /** Returns the offset after the last complete event, which ends with an empty line; 0 if there is none. */
    private static int endOfLastEvent(byte[] bytes) {
        for (int i = bytes.length - 1; i > 0; i--) {
            if (bytes[i] == '\n' && isEventEnd(bytes, i)) {
                return i + 1;
            }
        }
        return 0;
    }

    private static boolean isEventEnd(byte[] bytes, int index) {
        return bytes[index - 1] == '\n' || (index > 1 && bytes[index - 1] == '\r' && bytes[index - 2] == '\n');
    }

    private void updateLastEventId(byte[] events) {
        int lineStart = 0;
        for (int i = 0; i < events.length; i++) {
            if (events[i] == '\n') {
                updateLastEventIdFromLine(events, lineStart, i);
                lineStart = i + 1;
            }
        }
    }

    private void updateLastEventIdFromLine(byte[] events, int lineStart, int lineEnd) {
        int valueStart = lineStart + ID_FIELD.length;
        if (valueStart <= lineEnd && Arrays.equals(events, lineStart, valueStart, ID_FIELD, 0, ID_FIELD.length)) {
            lastEventId =
                    Optional.of(new String(events, valueStart, lineEnd - valueStart, StandardCharsets.UTF_8).strip());
        }
    }
}

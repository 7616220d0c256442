package org.geraniumford.core.stream;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a byte stream of server-sent events at event boundaries, and decides whether the stream may end where it does.
 * An event ends with an empty line; lines end with CR, LF or CR LF. Reads each byte once. Not thread-safe.
 */
public final class EventFramer {
    /** The default maximum size of one event in bytes: an event without an end must not fill the memory. */
    public static final int MAX_EVENT_BYTES = 64 * 1024;

    private static final int INITIAL_CAPACITY_BYTES = 256;
    private static final byte[] EMPTY = {};
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    /** The bytes that were read and not returned yet: those of an incomplete event. */
    private byte[] pending = new byte[INITIAL_CAPACITY_BYTES];

    private int pendingLength;

    /** The offset in {@link #pending} at which the current line starts. */
    private int lineStart;

    private boolean afterCarriageReturn;

    /** Whether the incomplete event has a line that is not a comment. */
    private boolean anyField;

    private boolean anyEvent;

    /** Whether an earlier attempt broke off within an event that has not arrived whole since. */
    private boolean eventMissing;

    private boolean oversized;

    /** The identifier in the incomplete event; empty if there is none yet. */
    private Optional<String> pendingEventId = Optional.empty();

    private Optional<String> lastEventId = Optional.empty();

    private final int maxEventBytes;

    private EventFramer(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    // -- construction

    /**
     * Creates a framer at the start of a stream whose events have at most {@link #MAX_EVENT_BYTES}.
     *
     * @return a new framer
     */
    public static EventFramer empty() {
        return new EventFramer(MAX_EVENT_BYTES);
    }

    /**
     * Creates a framer at the start of a stream.
     *
     * @param maxEventBytes the maximum size of one event in bytes, at least 1
     * @return a new framer
     */
    public static EventFramer ofLimit(int maxEventBytes) {
        return new EventFramer(maxEventBytes);
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
        return pendingLength > 0;
    }

    /**
     * Returns whether an event exceeds the maximum size. The stream cannot be read on then.
     *
     * @return true once an event is too large
     */
    public boolean isOversized() {
        return oversized;
    }

    /**
     * Returns whether the stream is complete if it ends here. A stream that ends within an event has been broken off. A
     * stream without any event is complete only if its server marked the end of it, and if no earlier attempt broke off
     * within an event, which is missing then.
     *
     * @param endMarked whether a length or a last chunk marked the end, rather than the end of the connection
     * @return true if the stream of the current attempt is complete
     */
    public boolean isCompleteAtEnd(boolean endMarked) {
        boolean mayBeEmpty = endMarked && !eventMissing;
        return !hasPartialEvent() && !oversized && (anyEvent || mayBeEmpty);
    }

    // -- commands

    /**
     * Appends bytes of the stream.
     *
     * @param bytes the next bytes
     * @return the bytes of the events that are now complete, unchanged; empty if there are none
     */
    public byte[] feed(byte[] bytes) {
        if (oversized) {
            return EMPTY;
        }
        int scanStart = pendingLength;
        append(bytes);
        int end = endOfLastEvent(scanStart);
        byte[] complete = end == 0 ? EMPTY : Arrays.copyOf(pending, end);
        discardFirst(end);
        oversized = pendingLength > maxEventBytes;
        return complete;
    }

    /**
     * Discards the bytes of an incomplete event, because the server that resumes the stream sends the whole event.
     * Whether its stream is complete is decided by what it sends itself.
     */
    public void discardPartialEvent() {
        eventMissing = hasPartialEvent() || (eventMissing && !anyEvent);
        pendingLength = 0;
        lineStart = 0;
        afterCarriageReturn = false;
        anyEvent = false;
        anyField = false;
        oversized = false;
        pendingEventId = Optional.empty();
    }

    private void append(byte[] bytes) {
        int length = pendingLength + bytes.length;
        if (length > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(length, 2 * pending.length));
        }
        System.arraycopy(bytes, 0, pending, pendingLength, bytes.length);
        pendingLength = length;
    }

    private void discardFirst(int count) {
        if (count > 0) {
            System.arraycopy(pending, count, pending, 0, pendingLength - count);
            pendingLength -= count;
            lineStart -= count;
        }
    }

    /** Reads the pending bytes from an offset on, and returns the offset after the last complete event; 0 if none. */
    private int endOfLastEvent(int scanStart) {
        int end = 0;
        for (int i = scanStart; i < pendingLength; i++) {
            boolean secondOfPair = pending[i] == '\n' && afterCarriageReturn;
            afterCarriageReturn = pending[i] == '\r';
            if (secondOfPair) {
                // Belongs to the line end before it, which may have ended the event.
                end = lineStart == i && end == i ? i + 1 : end;
                lineStart = i + 1;
            } else if (pending[i] == '\n' || pending[i] == '\r') {
                end = endLine(i) ? i + 1 : end;
                lineStart = i + 1;
            }
        }
        return end;
    }

    /** Reads the line that ends before an offset, and returns whether it is the empty line at the end of an event. */
    private boolean endLine(int lineEnd) {
        if (lineEnd > lineStart) {
            anyField = anyField || pending[lineStart] != ':';
            readId(lineEnd);
            return false;
        }
        lastEventId = pendingEventId.or(() -> lastEventId);
        pendingEventId = Optional.empty();
        anyEvent = anyEvent || anyField;
        anyField = false;
        return true;
    }

    private void readId(int lineEnd) {
        int valueStart = lineStart + ID_FIELD.length;
        if (valueStart <= lineEnd && Arrays.equals(pending, lineStart, valueStart, ID_FIELD, 0, ID_FIELD.length)) {
            pendingEventId =
                    Optional.of(new String(pending, valueStart, lineEnd - valueStart, StandardCharsets.UTF_8).strip());
        }
    }
}

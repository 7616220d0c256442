package org.geraniumford.transport.response;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import java.util.Locale;
import java.util.Set;

/**
 * Detects the head of another response within a body: a status line that is followed, before an empty line, by a field
 * that only a response's head has. Such a body was broken off, and its missing bytes were filled up by the next
 * response. A text that only mentions a status line, or whose lines do not end with CR LF, is no head.
 *
 * <p>Where the body ends within what may be a head, the bytes behind it decide: it is one if they complete the status
 * line, another field or the empty line behind a field, or the empty line of an interim response, whichever way the
 * lines end. Reads each byte once, and keeps at most the name of one field. Not thread-safe.
 */
public final class EmbeddedHeadDetector {
    /** What a status line begins with; the characters in place of its digits are not compared. */
    private static final String STATUS_LINE = "HTTP/1.x ddd";

    private static final int VERSION_OFFSET = 7;
    private static final int STATUS_OFFSET = 9;
    private static final char INTERIM_STATUS_START = '1';
    private static final int MAX_NAME_LENGTH = 64;

    /** The names, in lower case, of the fields that only a response's head has. */
    private final Set<String> fieldNames;

    /** How many characters of {@link #STATUS_LINE} the last bytes match. */
    private int matched;

    /** Whether the status line that is being matched begins within the body, rather than behind it. */
    private boolean beginsInBody;

    private boolean bodyEnded;

    /** Whether the bytes that follow are those of a head whose status line was read. */
    private boolean inHead;

    /** How many bytes of the head were read after the status. */
    private int headBytes;

    private boolean afterCarriageReturn;

    /** Whether a line of the head ended with LF alone, so that it is a head only if it goes on behind the body. */
    private boolean hasBareLineFeed;

    /** Whether the status of the head is that of an interim response, whose head may have no fields. */
    private boolean interim;

    private boolean hasField;

    /** Whether the last byte of the body ended the head of an interim response, which another head follows. */
    private boolean afterInterimHead;

    private final StringBuilder name = new StringBuilder();

    /** Whether the current line of the head is a status line, or was read up to the colon of its field. */
    private boolean nameEnded;

    private boolean found;

    private EmbeddedHeadDetector(Set<String> fieldNames) {
        this.fieldNames = fieldNames;
    }

    // -- construction

    /**
     * Creates a detector at the start of a body.
     *
     * @param fieldNames the names, in lower case, of the fields that only a response's head has
     * @return a detector that has found nothing
     */
    public static EmbeddedHeadDetector of(Set<String> fieldNames) {
        return new EmbeddedHeadDetector(requireNonNull(fieldNames, "fieldNames is null"));
    }

    // -- queries

    /**
     * Returns whether the body holds the head of another response.
     *
     * @return true once a head was found that begins within the body
     */
    public boolean isFound() {
        return found;
    }

    /**
     * Returns what the last bytes of the body look like, as far as the bytes that were read behind it leave it open.
     *
     * @return {@link BodyEnd#PLAIN} if no further byte can show that a head begins within the body
     */
    public BodyEnd bodyEnd() {
        if (inHead || afterInterimHead) {
            return BodyEnd.HEAD;
        }
        return beginsInBody ? BodyEnd.ofStatusLine(matched) : BodyEnd.PLAIN;
    }

    // -- commands

    /**
     * Reads the next bytes of the body or, after {@link #endBody}, the bytes behind it.
     *
     * @param bytes the bytes, whose indices are not changed
     */
    public void feed(ByteBuf bytes) {
        int end = bytes.writerIndex();
        int next = bytes.readerIndex();
        while (next >= 0 && next < end && !found) {
            if (matched == 0 && !inHead && !afterInterimHead) {
                next = bytes.indexOf(next, end, (byte) STATUS_LINE.charAt(0));
            }
            if (next >= 0) {
                read(bytes.getByte(next));
                next++;
            }
        }
    }

    /** Ends the body: a head that begins in what follows is not within it, but one that began before goes on. */
    public void endBody() {
        bodyEnded = true;
    }

    private void read(byte next) {
        boolean inBody = !bodyEnded || afterInterimHead;
        afterInterimHead = false;
        if (inHead) {
            readHead(next);
        }
        if (!matches(next)) {
            matched = 0;
        }
        if (matches(next)) {
            beginsInBody = matched == 0 ? inBody : beginsInBody;
            interim = matched == STATUS_OFFSET ? next == INTERIM_STATUS_START : interim;
            matched++;
        }
        if (matched == STATUS_LINE.length()) {
            beginHead();
        }
    }

    private boolean matches(byte next) {
        if (matched >= STATUS_OFFSET) {
            return next >= '0' && next <= '9';
        }
        return matched == VERSION_OFFSET ? next == '0' || next == '1' : next == STATUS_LINE.charAt(matched);
    }

    private void beginHead() {
        found = bodyEnded && beginsInBody;
        matched = 0;
        inHead = beginsInBody;
        headBytes = 0;
        afterCarriageReturn = false;
        hasBareLineFeed = false;
        hasField = false;
        nameEnded = true;
    }

    private void readHead(byte next) {
        headBytes++;
        if (headBytes > StrictResponseDecoder.MAX_HEAD_BYTES || (afterCarriageReturn && next != '\n')) {
            inHead = false;
        } else if (next == '\n') {
            hasBareLineFeed = hasBareLineFeed || !afterCarriageReturn;
            endLine();
        } else if (next == '\r') {
            afterCarriageReturn = true;
        } else if (!nameEnded) {
            readName((char) next);
        }
    }

    private void endLine() {
        afterCarriageReturn = false;
        if (!nameEnded && name.isEmpty()) {
            found = bodyEnded && (hasField || interim);
            afterInterimHead = !bodyEnded && interim;
            inHead = false;
        }
        nameEnded = false;
        name.setLength(0);
    }

    private void readName(char next) {
        if (next == ':') {
            nameEnded = true;
            hasField = hasField || isFieldName();
            found = bodyEnded ? isFieldName() : isIdentifyingField();
        } else if (name.length() < MAX_NAME_LENGTH) {
            name.append(next);
        }
    }

    private boolean isFieldName() {
        return !name.isEmpty() && name.chars().allMatch(character -> character > ' ');
    }

    private boolean isIdentifyingField() {
        return !hasBareLineFeed && fieldNames.contains(name.toString().toLowerCase(Locale.ROOT));
    }
}

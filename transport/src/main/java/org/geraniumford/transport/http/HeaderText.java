package org.geraniumford.transport.http;

import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.geraniumford.core.text.LineField;

/**
 * Translates between text and the values of header fields, whose characters stand for the bytes on the wire. Text is
 * sent in UTF-8. Two texts never have the same value.
 */
public final class HeaderText {
    /** Begins the value of a text that no field can carry as it is; the charset and empty language of RFC 8187. */
    private static final String ENCODED_PREFIX = "UTF-8''";

    private static final char FIRST_NON_ASCII = 0x80;

    private HeaderText() {}

    // -- encoding

    /**
     * Returns the value of a field.
     *
     * @param text any text
     * @return the text's bytes in UTF-8, a character for each; percent-encoded behind {@code UTF-8''} if the text is
     *     empty, begins or ends with a space, holds a control character or an unpaired surrogate, or looks encoded
     */
    public static String encode(String text) {
        if (!isCarried(text)) {
            return ENCODED_PREFIX + URLEncoder.encode(LineField.encode(text), StandardCharsets.UTF_8);
        }
        return isAscii(text) ? text : new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private static boolean isCarried(String text) {
        return !text.isEmpty()
                && text.charAt(0) != ' '
                && text.charAt(text.length() - 1) != ' '
                && text.codePoints().noneMatch(HeaderText::isControlOrSurrogate)
                && !text.startsWith(ENCODED_PREFIX);
    }

    private static boolean isControlOrSurrogate(int codePoint) {
        return Character.isISOControl(codePoint) || Character.getType(codePoint) == Character.SURROGATE;
    }

    private static boolean isAscii(String text) {
        return text.chars().allMatch(character -> character < FIRST_NON_ASCII);
    }

    // -- decoding

    /**
     * Returns the text of a field that others wrote.
     *
     * @param value the value as it was read, a character for each byte
     * @return the text in UTF-8, or the value itself if its bytes are not UTF-8
     */
    public static String decode(String value) {
        return decodeUtf8(value).orElse(value);
    }

    /**
     * Returns the text of a field or request target that others wrote.
     *
     * @param value the value as it was read, a character for each byte
     * @return the text; empty if the bytes are not UTF-8
     */
    public static Optional<String> decodeUtf8(String value) {
        if (isAscii(value)) {
            return Optional.of(value);
        }
        try {
            ByteBuffer bytes = ByteBuffer.wrap(value.getBytes(StandardCharsets.ISO_8859_1));
            return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }
}

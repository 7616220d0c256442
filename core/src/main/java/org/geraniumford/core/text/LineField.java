package org.geraniumford.core.text;

import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Encodes free text as one field of a line whose fields are separated by spaces. Two texts never have the same encoded
 * form, and {@link #decode} returns what was encoded. Most names are their own encoded form.
 */
public final class LineField {
    /** Stands before the four hexadecimal digits of a character. */
    private static final char ESCAPE = '%';

    private static final char DELETE = 0x7f;
    private static final int DIGITS = 4;
    private static final Pattern ESCAPED_CHARACTER = Pattern.compile(ESCAPE + "[0-9a-f]{" + DIGITS + "}");
    private static final HexFormat HEX = HexFormat.of();

    private LineField() {}

    // -- encoding

    /**
     * Encodes a text.
     *
     * @param text any text, also with unpaired surrogates
     * @return the text with an escape in place of each space, control character, percent sign and unpaired surrogate;
     *     it can be written in UTF-8 without loss
     */
    public static String encode(String text) {
        StringBuilder field = new StringBuilder(text.length());
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (isPlain(character) && !isUnpairedSurrogate(text, i)) {
                field.append(character);
            } else {
                field.append(ESCAPE).append(HEX.toHexDigits(character));
            }
        }
        return field.toString();
    }

    private static boolean isPlain(char character) {
        return character > ' ' && character != ESCAPE && character != DELETE;
    }

    /** Returns whether the character at an index is a surrogate that has no partner, which UTF-8 cannot express. */
    static boolean isUnpairedSurrogate(String text, int index) {
        char character = text.charAt(index);
        if (Character.isHighSurrogate(character)) {
            return index + 1 == text.length() || !Character.isLowSurrogate(text.charAt(index + 1));
        }
        return Character.isLowSurrogate(character)
                && (index == 0 || !Character.isHighSurrogate(text.charAt(index - 1)));
    }

    // -- decoding

    /**
     * Decodes a field.
     *
     * @param field an encoded text, or one that was written before texts were encoded
     * @return the text; a percent sign that begins no escape stands for itself
     */
    public static String decode(String field) {
        return ESCAPED_CHARACTER.matcher(field).replaceAll(escaped -> {
            char character = (char) HexFormat.fromHexDigits(escaped.group(), 1, 1 + DIGITS);
            return Matcher.quoteReplacement(String.valueOf(character));
        });
    }
}

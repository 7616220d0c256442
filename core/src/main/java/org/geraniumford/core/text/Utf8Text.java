package org.geraniumford.core.text;

/**
 * Encodes any text as one that UTF-8 can express. Only a text with an unpaired surrogate, or one that begins like an
 * encoded one, differs from its encoded form.
 */
public final class Utf8Text {
    /** Begins an encoded text; not a character, so that other texts rarely begin with it. */
    private static final char ENCODED = '\uffff';

    private Utf8Text() {}

    // -- encoding

    /**
     * Encodes a text.
     *
     * @param text any text
     * @return a text without unpaired surrogates, from which {@link #decode} returns this one
     */
    public static String encode(String text) {
        return hasUnpairedSurrogate(text) || isEncoded(text) ? ENCODED + LineField.encode(text) : text;
    }

    /**
     * Decodes a text.
     *
     * @param encoded a text that was encoded by {@link #encode}
     * @return the text
     */
    public static String decode(String encoded) {
        return isEncoded(encoded) ? LineField.decode(encoded.substring(1)) : encoded;
    }

    private static boolean isEncoded(String text) {
        return !text.isEmpty() && text.charAt(0) == ENCODED;
    }

    private static boolean hasUnpairedSurrogate(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (Character.isSurrogate(text.charAt(i)) && LineField.isUnpairedSurrogate(text, i)) {
                return true;
            }
        }
        return false;
    }
}

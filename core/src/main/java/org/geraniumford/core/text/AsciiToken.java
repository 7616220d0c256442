package org.geraniumford.core.text;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.geraniumford.core.configuration.Sha256;

/**
 * Encodes free text as a short token of ASCII letters, digits and {@code . - _ * + % =}, which any header field, key or
 * label can carry. Two texts have the same token only if they are equal, or both are long and have the same SHA-256
 * digest. Nothing decodes a token.
 */
public final class AsciiToken {
    /** Longer tokens are replaced by a digest. */
    private static final int MAX_LENGTH = 80;

    /** Begins the token of a long text, and no other: the encoded form of a text has no equals sign. */
    private static final String DIGEST_PREFIX = "sha256=";

    private AsciiToken() {}

    // -- encoding

    /**
     * Encodes a text.
     *
     * @param text any text, also with unpaired surrogates
     * @return the token; a name of ASCII letters, digits, full stops, hyphens and underscores is its own token
     */
    public static String of(String text) {
        String encodable = LineField.encode(text);
        String token = URLEncoder.encode(encodable, StandardCharsets.UTF_8);
        return token.length() <= MAX_LENGTH ? token : DIGEST_PREFIX + Sha256.hex(encodable);
    }
}

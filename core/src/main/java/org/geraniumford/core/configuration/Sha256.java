package org.geraniumford.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests of text and bytes. */
public final class Sha256 {
    private Sha256() {}

    // -- queries

    /**
     * Digests text.
     *
     * @param text the text, taken as UTF-8
     * @return 64 hexadecimal digits in lower case
     */
    public static String hex(String text) {
        return hex(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Digests bytes.
     *
     * @param bytes the bytes
     * @return 64 hexadecimal digits in lower case
     */
    public static String hex(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

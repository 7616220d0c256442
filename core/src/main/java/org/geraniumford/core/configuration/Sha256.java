package org.geraniumford.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests of text and bytes. */
public final class Sha256 {
    private Sha256() {}

    // -- queries

    /**
     * Returns the digest of a text.
     *
     * @param text the text, which is encoded in UTF-8
     * @return 64 hexadecimal digits in lower case
     */
    public static String hex(String text) {
        return hex(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the digest of bytes.
     *
     * @param bytes the bytes
     * @return 64 hexadecimal digits in lower case
     */
    public static String hex(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", e);
        }
    }
}

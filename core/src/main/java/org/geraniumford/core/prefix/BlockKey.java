package org.geraniumford.core.prefix;

import java.util.HexFormat;

/**
 * The chained digest of a prompt prefix: 128 bits that depend on the customer, the weights, the adapter and every byte
 * of the prompt up to and including one block.
 *
 * @param high the first 64 bits
 * @param low the last 64 bits
 */
public record BlockKey(long high, long low) {
    private static final int HEX_DIGITS = 32;
    private static final int HEX_DIGITS_PER_HALF = HEX_DIGITS / 2;

    // -- construction

    /**
     * Parses a key from its hexadecimal form.
     *
     * @param hex 32 hexadecimal digits
     * @return the key
     * @throws IllegalArgumentException if the text is not 32 hexadecimal digits
     */
    public static BlockKey ofHex(String hex) {
        if (hex.length() != HEX_DIGITS) {
            throw new IllegalArgumentException(
                    "a piece key has " + HEX_DIGITS + " hexadecimal digits, not " + hex.length());
        }
        return new BlockKey(
                HexFormat.fromHexDigitsToLong(hex, 0, HEX_DIGITS_PER_HALF),
                HexFormat.fromHexDigitsToLong(hex, HEX_DIGITS_PER_HALF, HEX_DIGITS));
    }

    // -- queries

    /**
     * Returns the short digest that probes contain in place of the whole key.
     *
     * @return the first 64 bits
     */
    public long shortDigest() {
        return high;
    }

    /**
     * Returns the key in hexadecimal form.
     *
     * @return 32 hexadecimal digits
     */
    public String toHex() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}

package org.geraniumford.core.prefix;

import static java.util.Objects.requireNonNull;

/**
 * A block of a prompt, the unit of prefix caching.
 *
 * @param key the chained digest of the prefix that ends with this block
 * @param tokens the estimated number of tokens in this block alone, at least 1
 */
public record Block(BlockKey key, int tokens) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if {@code tokens} is less than 1
     */
    public Block {
        requireNonNull(key, "key is null");
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens is " + tokens + ", not at least 1");
        }
    }
}

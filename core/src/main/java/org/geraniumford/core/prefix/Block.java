package org.geraniumford.core.prefix;

import static java.util.Objects.requireNonNull;

/**
 * One unit of cached prompt.
 *
 * @param key the chained digest of the prefix that ends with this piece
 * @param tokens the estimated number of tokens in this piece alone, at least 1
 */
public record Block(BlockKey key, int tokens) {
    /** Checks the components. */
    public Block {
        requireNonNull(key, "key is null");
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens is " + tokens + ", not at least 1");
        }
    }
}

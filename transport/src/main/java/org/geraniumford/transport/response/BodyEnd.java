package org.geraniumford.transport.response;

import java.time.Duration;

/**
 * What the last bytes of a body look like. A body that ends like the beginning of a response's head may have been
 * broken off and filled up by the next response, whose other bytes then follow.
 */
public enum BodyEnd {
    /** Nothing of a head. */
    PLAIN(Duration.ZERO),
    /** The first letter of a status line, with which many texts end. */
    FIRST_LETTER(Duration.ofMillis(100)),
    /** More of a status line, or a status line and what may be fields: sound bodies rarely end so. */
    HEAD(Duration.ofMillis(500));

    private final Duration silence;

    BodyEnd(Duration silence) {
        this.silence = silence;
    }

    // -- construction

    /**
     * Returns the end of a body whose last bytes match the beginning of a status line.
     *
     * @param matchedBytes how many bytes match
     * @return the end
     */
    static BodyEnd ofStatusLine(int matchedBytes) {
        return switch (matchedBytes) {
            case 0 -> PLAIN;
            case 1 -> FIRST_LETTER;
            default -> HEAD;
        };
    }

    // -- queries

    /**
     * Returns for how long no byte must follow the body before it counts as whole.
     *
     * @return the time since the last byte; zero if the body is whole whatever follows
     */
    public Duration silence() {
        return silence;
    }
}

package org.geraniumford.transport.link;

import java.io.IOException;

/** A frame that cannot be decoded. */
public final class BrokenFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates a failure.
     *
     * @param message what was wrong
     * @param cause the decoder's failure; null if there is none
     */
    public BrokenFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.geraniumford.transport.link;

import java.io.IOException;

/** Thrown when a frame cannot be decoded, or is too long to be encoded. */
public final class BrokenFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong with the frame
     * @param cause the decoder's exception; null if there is none
     */
    public BrokenFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}

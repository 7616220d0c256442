package org.geraniumford.transport.http;

/** The decoding failure of a request whose body exceeds the limit. */
final class BodyTooLargeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BodyTooLargeException() {
        super("body too large", null, false, false);
    }
}

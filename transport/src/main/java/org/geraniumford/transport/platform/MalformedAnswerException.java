package org.geraniumford.transport.platform;

/** An answer of the platform that cannot be understood. */
final class MalformedAnswerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedAnswerException(String message, Throwable cause) {
        super(message, cause);
    }
}

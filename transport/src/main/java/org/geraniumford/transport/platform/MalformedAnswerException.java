package org.geraniumford.transport.platform;

/** Thrown when a response of the platform cannot be parsed. */
final class MalformedAnswerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedAnswerException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.geraniumford.transport.engine;

import java.io.IOException;
import org.geraniumford.transport.forward.ResponseLimits;

/** The body of a response exceeds {@link ResponseLimits#MAX_OWN_CALL_BYTES}. */
public final class ResponseTooLargeException extends IOException {
    private static final long serialVersionUID = 1;

    ResponseTooLargeException() {
        super("the response exceeds " + ResponseLimits.MAX_OWN_CALL_BYTES + " bytes");
    }
}

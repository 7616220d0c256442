package org.geraniumford.transport.engine;

import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.HttpResponseBodyPart;
import org.geraniumford.transport.forward.ResponseLimits;

/** Buffers a response whole, unless its body is too large. The call then fails, and its connection is closed. */
public class BoundedResponseHandler extends AsyncCompletionHandlerBase {
    private long receivedBytes;

    /**
     * Buffers a part of the body.
     *
     * @param part the next bytes of the body
     * @return to go on
     * @throws ResponseTooLargeException if the body exceeds {@link ResponseLimits#MAX_OWN_CALL_BYTES}
     */
    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
        receivedBytes += part.length();
        if (receivedBytes > ResponseLimits.MAX_OWN_CALL_BYTES) {
            throw new ResponseTooLargeException();
        }
        return super.onBodyPartReceived(part);
    }
}

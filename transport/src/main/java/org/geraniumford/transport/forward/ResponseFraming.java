package org.geraniumford.transport.forward;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of a response's body is marked. */
public enum ResponseFraming {
    /** A length or a last chunk marks the end, or the status says that there is no body. */
    DELIMITED("length_or_last_chunk"),
    /** Only the end of the connection marks the end. */
    CLOSE_DELIMITED("connection");

    private final String label;

    ResponseFraming(String label) {
        this.label = label;
    }

    // -- construction

    /**
     * Returns the framing that a head announces.
     *
     * @param head the status and header fields
     * @return the framing of the body
     */
    public static ResponseFraming of(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head) || hasNoBody(head)
                ? DELIMITED
                : CLOSE_DELIMITED;
    }

    private static boolean hasNoBody(HttpResponse head) {
        return head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }

    // -- queries

    /**
     * Returns whether a complete response marks its end itself.
     *
     * @return false if only the end of the connection does
     */
    public boolean isEndMarked() {
        return this == DELIMITED;
    }

    /**
     * Returns what marks the end.
     *
     * @return the name for the log
     */
    public String label() {
        return label;
    }
}

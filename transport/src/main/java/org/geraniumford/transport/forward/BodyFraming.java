package org.geraniumford.transport.forward;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/** How the body of a response to a caller is framed (RFC 9112, section 6.3). */
enum BodyFraming {
    /** A body in chunks, whose length is not known when the head is written. */
    CHUNKED {
        @Override
        void applyTo(HttpResponse head) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
    },
    /** A body of the length that the head names. */
    LENGTH {
        @Override
        void applyTo(HttpResponse head) {
            head.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            HttpUtil.setContentLength(head, contentLength(head));
        }
    },
    /** A body of length 0, whatever the response holds. */
    EMPTY {
        @Override
        void applyTo(HttpResponse head) {
            head.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            HttpUtil.setContentLength(head, 0);
        }
    },
    /** No body. The length in the head, if there is one, is that of the response to GET. */
    ABSENT {
        @Override
        void applyTo(HttpResponse head) {
            head.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            if (contentLength(head) > 0) {
                HttpUtil.setContentLength(head, contentLength(head));
            }
        }
    },
    /** No body, and no header field that describes one. */
    IMPOSSIBLE {
        @Override
        void applyTo(HttpResponse head) {
            head.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        }
    };

    // -- construction

    /**
     * Returns the framing of a complete response.
     *
     * @param method the method of the request
     * @param response the response
     * @return a length, or a framing without a body
     */
    static BodyFraming ofWhole(HttpMethod method, FullHttpResponse response) {
        return of(method, response.status(), LENGTH);
    }

    /**
     * Returns the framing of a response whose length is not known.
     *
     * @param method the method of the request
     * @param head the status and header fields
     * @return chunks, or a framing without a body
     */
    static BodyFraming ofStream(HttpMethod method, HttpResponse head) {
        return of(method, head.status(), CHUNKED);
    }

    private static BodyFraming of(HttpMethod method, HttpResponseStatus status, BodyFraming withBody) {
        if (status.codeClass() == HttpStatusClass.INFORMATIONAL || status.equals(HttpResponseStatus.NO_CONTENT)) {
            return IMPOSSIBLE;
        }
        if (status.equals(HttpResponseStatus.RESET_CONTENT)) {
            return EMPTY;
        }
        boolean absent = method.equals(HttpMethod.HEAD) || status.equals(HttpResponseStatus.NOT_MODIFIED);
        return absent ? ABSENT : withBody;
    }

    // -- queries

    /**
     * Returns whether bytes of a body may follow the head.
     *
     * @return false if the response ends with its head
     */
    boolean hasBody() {
        return this == CHUNKED || this == LENGTH;
    }

    private static int contentLength(HttpResponse head) {
        return head instanceof FullHttpResponse whole ? whole.content().readableBytes() : 0;
    }

    // -- commands

    /**
     * Sets the header fields that describe the body.
     *
     * @param head the head, with the body if the response is complete
     */
    abstract void applyTo(HttpResponse head);
}

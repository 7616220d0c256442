package org.geraniumford.transport.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/** What the head of a request says about the length of its body. */
final class RequestLength {
    /** A longer body, or one of unknown length, is not begun while memory is scarce. */
    private static final int LONG_BODY_BYTES = 64 * 1024;

    private RequestLength() {}

    // -- queries

    /** Returns whether two HTTP parsers could disagree about where the request ends. */
    static boolean isAmbiguous(HttpRequest request) {
        boolean hasLength = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean hasCoding = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        return (hasLength && hasCoding)
                || (hasCoding && !HttpUtil.isTransferEncodingChunked(request))
                || request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size() > 1
                || request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1;
    }

    /** Returns whether the body is, or may be, longer than those that are read even while memory is scarce. */
    static boolean isLong(HttpRequest request) {
        return HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > LONG_BODY_BYTES;
    }

    /** Returns whether the head announces a body of more bytes than the limit. */
    static boolean exceeds(HttpRequest request, int maxBodyBytes) {
        return HttpUtil.isContentLengthSet(request) && HttpUtil.getContentLength(request, 0L) > maxBodyBytes;
    }
}

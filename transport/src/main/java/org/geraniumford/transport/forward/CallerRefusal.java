package org.geraniumford.transport.forward;

import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/** The response to a request that is not read to its end, and has not run. */
final class CallerRefusal {
    /** Bodies end, or are given up, within about this time; callers are spread over it. */
    private static final double MIN_RETRY_SECONDS = 1;

    private static final double MAX_RETRY_SECONDS = 3;

    private CallerRefusal() {}

    // -- construction

    static FullHttpResponse of(HttpResponseStatus status) {
        FullHttpResponse refusal = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        HttpUtil.setContentLength(refusal, 0);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            double seconds = ThreadLocalRandom.current().nextDouble(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS);
            refusal.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.1f", seconds));
        }
        return refusal;
    }
}

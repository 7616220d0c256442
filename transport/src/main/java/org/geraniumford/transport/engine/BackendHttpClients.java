package org.geraniumford.transport.engine;

import java.time.Duration;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.geraniumford.transport.response.StrictClientCodec;

/** Creates the HTTP clients of backend servers. */
public final class BackendHttpClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    private BackendHttpClients() {}

    /**
     * Creates a client that never retries a request by itself and follows no redirects.
     *
     * @param threads the number of network threads, at least 1
     * @return a client; closed by its owner
     */
    public static AsyncHttpClient create(int threads) {
        return Dsl.asyncHttpClient(Dsl.config()
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setConnectTimeout(CONNECT_TIMEOUT)
                .setRequestTimeout(REQUEST_TIMEOUT)
                .setReadTimeout(REQUEST_TIMEOUT)
                .setTcpNoDelay(true)
                .setIoThreadsCount(threads)
                .setShutdownQuietPeriod(Duration.ZERO)
                .setShutdownTimeout(Duration.ofSeconds(1))
                .setThreadPoolName("backend-http")
                .setHttpAdditionalChannelInitializer(StrictClientCodec::install)
                .build());
    }
}

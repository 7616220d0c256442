package org.geraniumford.transport.http;

import java.time.Duration;

/**
 * The limits of an HTTP server.
 *
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param maxHeaderBytes the maximum total size of the header fields in bytes
 * @param maxConnections the maximum number of open connections; further ones are closed immediately
 * @param requestTimeout the time within which a whole request must be read, from its first bytes on
 */
public record HttpLimits(int maxBodyBytes, int maxHeaderBytes, int maxConnections, Duration requestTimeout) {
    /** The default time within which a whole request must be read. */
    public static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(60);

    private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
    private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
    private static final int DEFAULT_CONNECTIONS = 10_000;

    /**
     * Returns the default limits, which allow long prompts.
     *
     * @return limits of 4 MiB for the body, 16 KiB for the header fields, 10,000 connections and 60 s
     */
    public static HttpLimits ofDefaults() {
        return new HttpLimits(DEFAULT_BODY_BYTES, DEFAULT_HEADER_BYTES, DEFAULT_CONNECTIONS, DEFAULT_REQUEST_TIMEOUT);
    }
}

package org.geraniumford.transport.http;

/**
 * The limits of an HTTP server.
 *
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param maxHeaderBytes the maximum total size of the header fields in bytes
 * @param maxConnections the maximum number of open connections; further ones are closed immediately
 */
public record HttpLimits(int maxBodyBytes, int maxHeaderBytes, int maxConnections) {
    private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
    private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
    private static final int DEFAULT_CONNECTIONS = 10_000;

    /**
     * Returns the default limits, which allow long prompts.
     *
     * @return limits of 4 MiB for the body, 16 KiB for the header fields and 10,000 connections
     */
    public static HttpLimits ofDefaults() {
        return new HttpLimits(DEFAULT_BODY_BYTES, DEFAULT_HEADER_BYTES, DEFAULT_CONNECTIONS);
    }
}

package org.geraniumford.transport.http;

/**
 * What a server accepts.
 *
 * @param maxBodyBytes the largest request body in bytes
 * @param maxHeaderBytes the largest sum of header fields in bytes
 * @param maxConnections the largest number of open connections; further ones are closed at once
 */
public record HttpLimits(int maxBodyBytes, int maxHeaderBytes, int maxConnections) {
    private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
    private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
    private static final int DEFAULT_CONNECTIONS = 10_000;

    /**
     * Returns limits that fit long prompts.
     *
     * @return 4 MiB of body, 16 KiB of header fields, 10,000 connections
     */
    public static HttpLimits ofDefaults() {
        return new HttpLimits(DEFAULT_BODY_BYTES, DEFAULT_HEADER_BYTES, DEFAULT_CONNECTIONS);
    }
}

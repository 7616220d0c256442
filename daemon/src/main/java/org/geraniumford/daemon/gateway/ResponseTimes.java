package org.geraniumford.daemon.gateway;

import java.util.OptionalLong;

/** The times of one response, counted from the moment when the head of its request was read. */
final class ResponseTimes {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final GatewayMetrics metrics;
    private final long startNanos;

    /** The time until the first bytes of the response were forwarded; empty until then. */
    private OptionalLong firstBytesNanos = OptionalLong.empty();

    ResponseTimes(GatewayMetrics metrics, long startNanos) {
        this.metrics = metrics;
        this.startNanos = startNanos;
    }

    // -- queries

    long elapsedNanos() {
        return System.nanoTime() - startNanos;
    }

    long elapsedMillis() {
        return elapsedNanos() / NANOS_PER_MILLI;
    }

    /** Returns the milliseconds until the first bytes for the log; an empty text if none were forwarded. */
    String firstBytesMillis() {
        return firstBytesNanos.isPresent() ? String.valueOf(firstBytesNanos.getAsLong() / NANOS_PER_MILLI) : "";
    }

    // -- commands

    void recordFirstBytes() {
        long nanos = elapsedNanos();
        firstBytesNanos = OptionalLong.of(nanos);
        metrics.recordFirstByteTime(nanos);
    }

    void recordEnd() {
        metrics.recordResponseTime(elapsedNanos());
    }
}

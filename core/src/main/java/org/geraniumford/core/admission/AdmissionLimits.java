package org.geraniumford.core.admission;

/**
 * The limits of an admission queue.
 *
 * @param maxRunning the maximum number of requests at the engine at once, at least 1
 * @param maxPrefills the maximum number of them in prefill at once, at least 1
 * @param maxQueued the maximum number of queued requests, at least 1
 * @param maxQueuedBytes the maximum memory that the queued requests occupy, in bytes
 */
public record AdmissionLimits(int maxRunning, int maxPrefills, int maxQueued, long maxQueuedBytes) {
    private static final int DEFAULT_RUNNING = 128;
    private static final int DEFAULT_PREFILLS = 2;
    private static final int DEFAULT_QUEUED = 512;
    private static final long DEFAULT_QUEUED_BYTES = 64L * 1024 * 1024;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a number of requests is less than 1
     */
    public AdmissionLimits {
        if (maxRunning < 1 || maxPrefills < 1 || maxQueued < 1) {
            throw new IllegalArgumentException("maxRunning, maxPrefills and maxQueued must be at least 1");
        }
    }

    /**
     * Returns the default limits, which keep the engine's own queue short.
     *
     * @return 128 requests running, 2 of them in prefill, and 512 queued in 64 MiB
     */
    public static AdmissionLimits ofDefaults() {
        return new AdmissionLimits(DEFAULT_RUNNING, DEFAULT_PREFILLS, DEFAULT_QUEUED, DEFAULT_QUEUED_BYTES);
    }
}

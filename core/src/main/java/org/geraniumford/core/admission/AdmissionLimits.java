package org.geraniumford.core.admission;

/**
 * The bounds of an admission queue.
 *
 * @param maxRunning how many requests the engine holds at once, at least 1
 * @param maxPrefills how many of them it prefills at once, at least 1
 * @param maxQueued how many requests wait, at least 1
 * @param maxQueuedBytes how many bytes of prompts wait
 */
public record AdmissionLimits(int maxRunning, int maxPrefills, int maxQueued, long maxQueuedBytes) {
    private static final int DEFAULT_RUNNING = 128;
    private static final int DEFAULT_PREFILLS = 2;
    private static final int DEFAULT_QUEUED = 512;
    private static final long DEFAULT_QUEUED_BYTES = 64L * 1024 * 1024;

    /** Checks the components. */
    public AdmissionLimits {
        if (maxRunning < 1 || maxPrefills < 1 || maxQueued < 1) {
            throw new IllegalArgumentException("maxRunning, maxPrefills and maxQueued must be at least 1");
        }
    }

    /**
     * Returns bounds that keep the engine's own queue short.
     *
     * @return 128 running, 2 in prefill, 512 waiting with 64 MiB of prompts
     */
    public static AdmissionLimits ofDefaults() {
        return new AdmissionLimits(DEFAULT_RUNNING, DEFAULT_PREFILLS, DEFAULT_QUEUED, DEFAULT_QUEUED_BYTES);
    }
}

package org.geraniumford.standins.engine;

import static java.util.Objects.requireNonNull;

/**
 * The options of an engine stand-in.
 *
 * @param port the port on loopback; 0 selects a free port
 * @param modelVersion the model version loaded at the start
 * @param weightsDigest the digest of the weights of that version
 * @param capacityBlocks the size of the prefix cache in blocks, at least 1
 * @param slots the largest number of requests that run at once, at least 1
 * @param maxWaiting the largest number of requests that wait; further ones are rejected with 503
 * @param checksFencing whether orders with an old fencing number are rejected
 * @param eventLoss the fraction of cache events that are lost, 0 to 1
 * @param seed the seed of the random choice of lost events
 * @param timing the durations of the engine's work
 */
public record EngineOptions(
        int port,
        String modelVersion,
        String weightsDigest,
        int capacityBlocks,
        int slots,
        int maxWaiting,
        boolean checksFencing,
        double eventLoss,
        long seed,
        EngineTiming timing) {
    private static final int DEFAULT_CAPACITY_BLOCKS = 512;
    private static final int DEFAULT_SLOTS = 16;
    private static final int DEFAULT_MAX_WAITING = 256;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if {@code capacityBlocks}, {@code slots} or {@code eventLoss} is out of range
     */
    public EngineOptions {
        requireNonNull(modelVersion, "modelVersion is null");
        requireNonNull(weightsDigest, "weightsDigest is null");
        requireNonNull(timing, "timing is null");
        if (capacityBlocks < 1 || slots < 1) {
            throw new IllegalArgumentException("capacityBlocks or slots is less than 1");
        }
        if (!(eventLoss >= 0 && eventLoss <= 1)) {
            throw new IllegalArgumentException("eventLoss is " + eventLoss + ", not from 0 to 1");
        }
    }

    // -- construction

    /**
     * Returns the default options of an engine on a free port.
     *
     * @return model {@code model-1} with weights {@code weights-1}, 512 blocks, 16 slots, at most 256 waiting requests,
     *     fencing numbers checked, no lost events
     */
    public static EngineOptions ofDefaults() {
        return new EngineOptions(
                0,
                "model-1",
                "weights-1",
                DEFAULT_CAPACITY_BLOCKS,
                DEFAULT_SLOTS,
                DEFAULT_MAX_WAITING,
                true,
                0,
                1,
                EngineTiming.ofDefaults());
    }

    /**
     * Returns a copy with other timing.
     *
     * @param newTiming the durations of the engine's work
     * @return new options
     */
    public EngineOptions withTiming(EngineTiming newTiming) {
        return new EngineOptions(
                port,
                modelVersion,
                weightsDigest,
                capacityBlocks,
                slots,
                maxWaiting,
                checksFencing,
                eventLoss,
                seed,
                newTiming);
    }

    /**
     * Returns a copy with other limits.
     *
     * @param blocks the size of the prefix cache in blocks, at least 1
     * @param running the largest number of requests that run at once, at least 1
     * @param waiting the largest number of requests that wait
     * @return new options
     */
    public EngineOptions withLimits(int blocks, int running, int waiting) {
        return new EngineOptions(
                port, modelVersion, weightsDigest, blocks, running, waiting, checksFencing, eventLoss, seed, timing);
    }

    /**
     * Returns a copy with another model.
     *
     * @param version the model version
     * @param digest the digest of the weights of that version
     * @return new options
     */
    public EngineOptions withModel(String version, String digest) {
        return new EngineOptions(
                port, version, digest, capacityBlocks, slots, maxWaiting, checksFencing, eventLoss, seed, timing);
    }

    /**
     * Returns a copy that checks fencing numbers or does not.
     *
     * @param checks whether orders with an old fencing number are rejected
     * @return new options
     */
    public EngineOptions withFencing(boolean checks) {
        return new EngineOptions(
                port, modelVersion, weightsDigest, capacityBlocks, slots, maxWaiting, checks, eventLoss, seed, timing);
    }
}

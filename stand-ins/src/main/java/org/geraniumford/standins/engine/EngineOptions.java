package org.geraniumford.standins.engine;

import static java.util.Objects.requireNonNull;

/**
 * How an engine is started.
 *
 * @param port the port on loopback; 0 takes a free one
 * @param modelVersion the model version that it holds at the start
 * @param weightsDigest the digest of those weights
 * @param capacityBlocks the size of its prefix cache in pieces, at least 1
 * @param slots the largest number of requests that run at once, at least 1
 * @param maxWaiting the largest number of requests that wait
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param eventLoss the fraction of cache events that are lost, 0 to 1
 * @param seed the seed of what is lost
 * @param timing how long its work takes
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

    /** Checks the components. */
    public EngineOptions {
        requireNonNull(modelVersion, "modelVersion is null");
        requireNonNull(weightsDigest, "weightsDigest is null");
        requireNonNull(timing, "timing is null");
        if (capacityBlocks < 1 || slots < 1) {
            throw new IllegalArgumentException("capacityPieces or slots is less than 1");
        }
        if (!(eventLoss >= 0 && eventLoss <= 1)) {
            throw new IllegalArgumentException("eventLoss is " + eventLoss + ", not from 0 to 1");
        }
    }

    // -- construction

    /**
     * Returns the options of an ordinary engine on a free port.
     *
     * @return 512 pieces, 16 slots, fencing numbers checked, no lost events
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
     * Changes the times.
     *
     * @param other how long the engine's work takes
     * @return new options
     */
    public EngineOptions withTiming(EngineTiming other) {
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
                other);
    }

    /**
     * Changes the sizes.
     *
     * @param pieces the cache's size in pieces
     * @param running the largest number of requests that run at once
     * @param waiting the largest number of requests that wait
     * @return new options
     */
    public EngineOptions withLimits(int pieces, int running, int waiting) {
        return new EngineOptions(
                port, modelVersion, weightsDigest, pieces, running, waiting, checksFencing, eventLoss, seed, timing);
    }

    /**
     * Changes the model.
     *
     * @param version the model version
     * @param digest the digest of its weights
     * @return new options
     */
    public EngineOptions withModel(String version, String digest) {
        return new EngineOptions(
                port, version, digest, capacityBlocks, slots, maxWaiting, checksFencing, eventLoss, seed, timing);
    }

    /**
     * Says what the engine does with old fencing numbers.
     *
     * @param checks whether it refuses them
     * @return new options
     */
    public EngineOptions withFencing(boolean checks) {
        return new EngineOptions(
                port, modelVersion, weightsDigest, capacityBlocks, slots, maxWaiting, checks, eventLoss, seed, timing);
    }
}

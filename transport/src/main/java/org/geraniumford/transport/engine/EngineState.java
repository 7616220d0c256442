package org.geraniumford.transport.engine;

/**
 * The state that an engine reports. Its load figures may be out of date.
 *
 * @param incarnation the engine's incarnation; larger is later
 * @param modelVersion the model version that the engine serves
 * @param weightsDigest the digest of the engine's weights
 * @param running the number of running requests
 * @param waiting the number of requests in the engine's queue
 * @param capacityBlocks the capacity of the prefix cache in blocks
 * @param eventSequence the sequence number of the last cache event
 * @param checksFencing whether the engine refuses orders whose fencing token is not newer than the last one
 */
public record EngineState(
        long incarnation,
        String modelVersion,
        String weightsDigest,
        int running,
        int waiting,
        int capacityBlocks,
        long eventSequence,
        boolean checksFencing) {}

package org.geraniumford.transport.engine;

/**
 * What an engine reports of itself. Load figures lag.
 *
 * @param incarnation the engine's incarnation; larger is later
 * @param modelVersion the model version that it serves
 * @param weightsDigest the digest of its weights
 * @param running the number of requests that run
 * @param waiting the number of requests that wait inside the engine
 * @param capacityBlocks the size of its cache in pieces
 * @param eventSequence the number of its last cache event
 * @param checksFencing whether it refuses orders with old numbers
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

package org.geraniumford.standins.engine;

import java.util.Set;

/**
 * The state of an engine, written as JSON.
 *
 * @param incarnation the start time of the engine, in microseconds since the epoch
 * @param modelVersion the loaded model version
 * @param weightsDigest the digest of the loaded weights
 * @param adapters the names of the loaded adapters
 * @param role the role of the engine
 * @param running the number of running requests in the reported load sample, which is the one before the latest
 * @param waiting the number of waiting requests in that sample
 * @param capacityPieces the size of the prefix cache in blocks
 * @param cachedPieces the number of blocks in the prefix cache
 * @param eventSequence the sequence number of the latest cache event
 * @param checksFencing whether orders with an old fencing number are rejected
 * @param counters the counters of the engine
 */
public record EngineState(
        long incarnation,
        String modelVersion,
        String weightsDigest,
        Set<String> adapters,
        String role,
        int running,
        int waiting,
        int capacityPieces,
        int cachedPieces,
        long eventSequence,
        boolean checksFencing,
        EngineCounters counters) {}

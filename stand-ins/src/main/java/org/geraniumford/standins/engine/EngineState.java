package org.geraniumford.standins.engine;

import java.util.Set;

/**
 * The body of an engine's state.
 *
 * @param incarnation the engine's start in microseconds since the epoch
 * @param modelVersion the model version
 * @param weightsDigest the digest of its weights
 * @param adapters the loaded adapters
 * @param role what the engine is used for
 * @param running the requests that run, as of a while ago
 * @param waiting the requests that wait, as of a while ago
 * @param capacityPieces the cache's size
 * @param cachedPieces the pieces in the cache
 * @param eventSequence the number of the latest cache event
 * @param checksFencing whether old fencing numbers are refused
 * @param counters what the engine has done
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

package org.geraniumford.standins.engine;

import java.util.Set;

/**
 * The state of an engine, written as JSON.
 *
 * @param incarnation the time of the start or of the latest simulated crash, in microseconds since the epoch
 * @param modelVersion the loaded model version
 * @param weightsDigest the digest of the loaded weights
 * @param adapters the names of the loaded adapters
 * @param role the role set by the latest {@code change_role} order, {@code serve} at first; the stand-in only reports
 *     it
 * @param running the number of running requests in the load sample before the latest; 0 until the second sample
 * @param waiting the number of waiting requests in that sample
 * @param capacityPieces the size of the prefix cache in blocks
 * @param cachedPieces the number of blocks in the prefix cache
 * @param eventSequence the sequence number of the latest cache event, which may be lost or not sent yet; 0 if there is
 *     none in this incarnation
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

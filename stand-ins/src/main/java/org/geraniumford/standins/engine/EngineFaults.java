package org.geraniumford.standins.engine;

/**
 * A change of the injected faults, read from JSON. A null component leaves its fault unchanged.
 *
 * @param crash whether to empty the cache, drop every connection and start a new incarnation
 * @param downMillis how long after a crash each request gets no response but a closed connection, in milliseconds; 0 if
 *     the engine responds again immediately
 * @param eventLoss the fraction of cache events that are lost, 0 to 1
 * @param eventDelayMillis the delay of cache events, in milliseconds
 * @param slowdown the factor by which prefill and decode are slower, more than 0; 1 is the configured speed
 * @param cutStreams whether to abort every request whose prefill has started, without a crash
 */
public record EngineFaults(
        boolean crash, long downMillis, Double eventLoss, Long eventDelayMillis, Double slowdown, boolean cutStreams) {}

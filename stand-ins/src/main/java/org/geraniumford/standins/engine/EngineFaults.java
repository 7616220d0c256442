package org.geraniumford.standins.engine;

/**
 * The body of a change of the fault switches. What is missing stays as it is.
 *
 * @param crash true empties the cache, drops every connection and starts a new incarnation
 * @param downMillis for how long a crashed engine answers nothing, in milliseconds
 * @param eventLoss the fraction of cache events that are lost, 0 to 1
 * @param eventDelayMillis the delay of cache events in milliseconds
 * @param slowdown how many times slower prefill and decode are
 * @param cutStreams true cuts the running answers without a crash
 */
public record EngineFaults(
        boolean crash, long downMillis, Double eventLoss, Long eventDelayMillis, Double slowdown, boolean cutStreams) {}

package org.geraniumford.standins.engine;

import java.util.List;

/**
 * A published change of the prefix cache.
 *
 * @param sequence the number of the event in the incarnation, from 1
 * @param incarnation the incarnation of the engine
 * @param kind {@code stored} or {@code evicted}
 * @param keys the keys of the blocks, in hexadecimal
 */
public record CacheEvent(long sequence, long incarnation, String kind, List<String> keys) {}

package org.geraniumford.standins.engine;

import java.util.List;

/**
 * A change of the cache, as it is published.
 *
 * @param sequence its number since the engine's start, from 1
 * @param incarnation the engine's incarnation
 * @param kind {@code stored} or {@code evicted}
 * @param keys the pieces' keys, in hexadecimal
 */
public record CacheEvent(long sequence, long incarnation, String kind, List<String> keys) {}

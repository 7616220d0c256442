package org.geraniumford.core.service;

/**
 * The declared size of each engine of a service.
 *
 * @param slots how many requests an engine processes at once
 * @param cacheTokens the tokens that running requests and cached parts share
 */
public record EngineShape(int slots, long cacheTokens) {}

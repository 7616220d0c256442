package org.geraniumford.core.service;

/**
 * The declared size of each engine of a service.
 *
 * @param slots how many requests an engine processes at once
 * @param cacheTokens the tokens that running requests and cached parts share
 * @param backups whether an engine copies the memory of a running request to another one as it grows
 */
public record EngineShape(int slots, long cacheTokens, boolean backups) {}

package org.geraniumford.core.service;

/**
 * The declared size of each engine of a service.
 *
 * @param slots how many requests an engine processes at once
 * @param kvCapacityTokens the tokens that running requests and cached parts share
 * @param supportsKvBackup whether an engine copies the memory of a running request to another one as it grows
 */
public record EngineSpec(int slots, long kvCapacityTokens, boolean supportsKvBackup) {}

package org.geraniumford.core.service;

/**
 * The configured capacity of each engine of a service.
 *
 * @param slots the maximum number of requests that an engine processes concurrently
 * @param kvCapacityTokens the engine's KV memory, shared by running requests and cached segments, in tokens
 * @param supportsKvBackup whether an engine continuously copies a running request's KV memory to another engine
 */
public record EngineSpec(int slots, long kvCapacityTokens, boolean supportsKvBackup) {}

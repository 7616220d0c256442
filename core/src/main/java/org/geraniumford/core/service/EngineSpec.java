package org.geraniumford.core.service;

/**
 * The configured capacity of each engine of a service.
 *
 * @param slots the maximum number of requests that an engine processes concurrently
 * @param kvCapacityTokens the engine's KV memory, shared by running requests and cached segments, in tokens
 * @param kvTokenBytes the size of one token in the KV memory, in bytes; 0 if it is not known
 * @param supportsKvBackup whether an engine continuously copies a running request's KV memory to another engine
 */
public record EngineSpec(int slots, long kvCapacityTokens, double kvTokenBytes, boolean supportsKvBackup) {
    /**
     * Creates a spec in which the size of a token is not known.
     *
     * @param slots the maximum number of requests that an engine processes concurrently
     * @param kvCapacityTokens the engine's KV memory, in tokens
     * @param supportsKvBackup whether an engine copies a running request's KV memory to another engine
     */
    public EngineSpec(int slots, long kvCapacityTokens, boolean supportsKvBackup) {
        this(slots, kvCapacityTokens, 0, supportsKvBackup);
    }
}

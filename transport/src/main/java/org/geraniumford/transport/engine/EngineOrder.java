package org.geraniumford.transport.engine;

/**
 * An order to load a model version.
 *
 * @param term the fencing term of the sender
 * @param sequence the number of the order within the term
 * @param version the model version to load
 * @param weightsDigest the digest of its weights
 */
public record EngineOrder(long term, long sequence, String version, String weightsDigest) {}

package org.geraniumford.transport.engine;

/**
 * An order to load a model version. The term and the sequence number together are its fencing token.
 *
 * @param term the sender's fencing term; larger is later
 * @param sequence the order's sequence number within the term; larger is later
 * @param version the model version to load
 * @param weightsDigest the digest of the version's weights
 */
public record EngineOrder(long term, long sequence, String version, String weightsDigest) {}

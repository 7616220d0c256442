package org.geraniumford.core.fleet;

import com.dynatrace.hash4j.hashing.Hashing;
import org.geraniumford.core.prompt.PromptSegment;

/**
 * A prompt segment, identified by the key that entries use for it in their cache estimates and gossip.
 *
 * @param key a hash of the segment's scope and id, the same at every entry
 * @param tokens the segment's length in tokens
 */
public record ScopedSegment(long key, long tokens) {
    // -- construction

    /**
     * Computes the key of a segment within the scope in which it may be shared.
     *
     * @param scope the name of the scope, which differs for each version of the weights and each isolated customer
     * @param segment the segment
     * @return the segment's key and length
     */
    public static ScopedSegment of(String scope, PromptSegment segment) {
        return new ScopedSegment(Hashing.xxh3_64().hashCharsToLong(scope + '/' + segment.id()), segment.tokens());
    }
}

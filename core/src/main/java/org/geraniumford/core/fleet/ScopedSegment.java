package org.geraniumford.core.fleet;

import com.dynatrace.hash4j.hashing.Hashing;
import org.geraniumford.core.prompt.PromptSegment;

/**
 * A prompt part as caches know it.
 *
 * @param key a hash of its scope and name, the same at every entry
 * @param tokens its length
 */
public record ScopedSegment(long key, long tokens) {
    // -- construction

    /**
     * Names a part within the scope in which it may be shared.
     *
     * @param scope the scope
     * @param part the part
     * @return the part's key and length
     */
    public static ScopedSegment of(String scope, PromptSegment part) {
        return new ScopedSegment(Hashing.xxh3_64().hashCharsToLong(scope + '/' + part.id()), part.tokens());
    }
}

package org.geraniumford.core.quarantine;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The request of one attempt at a backend server and the shared segments of its prompt, with what was known about them
 * when the attempt began.
 */
public final class PromptUse {
    private final RequestKeys keys;
    private final Map<Long, Integer> levels;
    private final List<Long> tried;

    private PromptUse(RequestKeys keys, Map<Long, Integer> levels, List<Long> tried) {
        this.keys = keys;
        this.levels = levels;
        this.tried = tried;
    }

    // -- construction

    /**
     * Returns the use of an attempt whose response has begun already.
     *
     * @return a use without keys
     */
    public static PromptUse empty() {
        return new PromptUse(RequestKeys.ofSegments(List.of()), Map.of(), List.of());
    }

    static PromptUse of(RequestKeys keys, Map<Long, Integer> levels, List<Long> tried) {
        return new PromptUse(keys, Map.copyOf(levels), List.copyOf(tried));
    }

    // -- combinators

    /**
     * Returns this use with the key of the request, if it was not needed when the attempt began because nothing was
     * suspect.
     *
     * @param request the key of the request
     * @return a use with the key
     */
    public PromptUse withRequest(long request) {
        return keys.request().isPresent()
                ? this
                : new PromptUse(new RequestKeys(keys.segments(), OptionalLong.of(request)), levels, tried);
    }

    // -- queries

    /**
     * Returns the keys of the request and of its shared segments.
     *
     * @return the keys
     */
    public RequestKeys keys() {
        return keys;
    }

    /**
     * Returns the held keys that the attempt has on trial.
     *
     * @return the keys; empty if none was held
     */
    public List<Long> tried() {
        return tried;
    }

    int level(long key) {
        return levels.getOrDefault(key, 0);
    }
}

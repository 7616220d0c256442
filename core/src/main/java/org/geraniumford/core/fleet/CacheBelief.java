package org.geraniumford.core.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumford.core.prompt.PromptPart;

/**
 * What an engine probably has cached, by what was sent to it. The least recently used parts are assumed to be evicted
 * first. Not thread-safe.
 */
public final class CacheBelief {
    private final LinkedHashMap<String, Long> tokensByPart = new LinkedHashMap<>(64, 0.75f, true);
    private final long capacityTokens;
    private long heldTokens;

    private CacheBelief(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    // -- construction

    /**
     * Creates a belief that nothing is cached.
     *
     * @param capacityTokens the tokens that the engine can cache
     * @return an empty belief
     */
    public static CacheBelief empty(long capacityTokens) {
        return new CacheBelief(capacityTokens);
    }

    // -- queries

    /**
     * Counts the leading tokens of a prompt that are probably cached.
     *
     * @param scope the scope within which parts are shared
     * @param parts the prompt's parts
     * @return tokens of the leading parts held
     */
    public long cachedTokens(String scope, List<PromptPart> parts) {
        long cached = 0;
        for (PromptPart part : parts) {
            if (!tokensByPart.containsKey(key(scope, part.id()))) {
                return cached;
            }
            cached += part.tokens();
        }
        return cached;
    }

    // -- commands

    /**
     * Notes that a prompt was read.
     *
     * @param scope the scope within which parts are shared
     * @param parts the prompt's parts
     */
    public void read(String scope, List<PromptPart> parts) {
        for (PromptPart part : parts) {
            Long before = tokensByPart.put(key(scope, part.id()), part.tokens());
            heldTokens += part.tokens() - (before == null ? 0 : before);
        }
        evict();
    }

    /** Forgets everything, as an engine does when it restarts or loads other weights. */
    public void clear() {
        tokensByPart.clear();
        heldTokens = 0;
    }

    private void evict() {
        Iterator<Map.Entry<String, Long>> oldest = tokensByPart.entrySet().iterator();
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    private static String key(String scope, String part) {
        return scope + '/' + part;
    }
}

package org.geraniumford.core.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumford.core.prompt.PromptPart;

/**
 * The shared prompt parts that some engine has read, so that any other can fetch them from the cache store. Until a
 * part is known, every entry sends its requests to one engine, so that it is read once. It answers the moment after new
 * weights, when all engines are empty and all entries ask for the same few parts. Not thread-safe.
 */
public final class KnownParts {
    private static final int MAX_PARTS = 8192;

    private final Map<String, Boolean> parts = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_PARTS;
        }
    };

    private KnownParts() {}

    // -- construction

    /**
     * Creates a set that knows no part.
     *
     * @return an empty set
     */
    public static KnownParts empty() {
        return new KnownParts();
    }

    // -- queries

    /**
     * Names the first shared part of a prompt that no engine is known to have read.
     *
     * @param scope the scope within which parts are shared
     * @param shared the shared parts in order
     * @return the part within its scope; empty if all of them are known
     */
    public String firstUnknown(String scope, List<PromptPart> shared) {
        return shared.stream()
                .map(part -> key(scope, part))
                .filter(key -> !parts.containsKey(key))
                .findFirst()
                .orElse("");
    }

    // -- commands

    /**
     * Notes that an engine has read a prompt.
     *
     * @param scope the scope within which parts are shared
     * @param shared the shared parts
     */
    public void read(String scope, List<PromptPart> shared) {
        shared.forEach(part -> parts.put(key(scope, part), true));
    }

    private static String key(String scope, PromptPart part) {
        return scope + '/' + part.id();
    }
}

package org.geraniumford.core.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;
import org.geraniumford.core.prefix.Block;
import org.geraniumford.core.prefix.BlockKey;

/** A bounded LRU cache of the hosts that last served prompt prefixes. Thread-safe. */
public final class HintCache {
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<BlockKey, Hint> hints;

    private HintCache(int capacity) {
        this.hints = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<BlockKey, Hint> eldest) {
                return size() > capacity;
            }
        };
    }

    // -- construction

    /**
     * Creates a cache.
     *
     * @param capacity the largest number of prefixes, at least 1
     * @return an empty cache
     */
    public static HintCache ofCapacity(int capacity) {
        return new HintCache(capacity);
    }

    // -- queries

    /**
     * Finds the valid hint for the longest prefix of a prompt. A hint is valid while its engine is available and has
     * not restarted.
     *
     * @param blocks the prompt's blocks, first to last
     * @param engines the connected engines
     * @return the hint, or empty if none is valid
     */
    public synchronized Optional<Hint> longestMatch(List<Block> blocks, ConnectedEngines engines) {
        return IntStream.iterate(blocks.size() - 1, index -> index >= 0, index -> index - 1)
                .mapToObj(index -> hints.get(blocks.get(index).key()))
                .filter(Objects::nonNull)
                .filter(hint -> isValid(hint, engines))
                .findFirst();
    }

    /**
     * Returns the number of cached prefixes.
     *
     * @return 0 up to the capacity
     */
    public synchronized int size() {
        return hints.size();
    }

    // -- commands

    /**
     * Records the host that served a prompt, for each of its shared prefixes.
     *
     * @param query the requirements of the attempt
     * @param host the host's name
     * @param incarnation the engine's incarnation
     */
    public synchronized void recordServed(RouteQuery query, String host, long incarnation) {
        query.sharedPrefixLengths()
                .forEach(length -> hints.put(query.keyAt(length), new Hint(host, incarnation, length)));
    }

    private static boolean isValid(Hint hint, ConnectedEngines engines) {
        return engines.find(hint.host())
                .filter(engine -> engine.isAvailable() && engine.incarnation() == hint.incarnation())
                .isPresent();
    }
}

package org.geraniumford.core.stream;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The origins of the streams begun last, of all entries, as far as one entry knows them. Not thread-safe. */
public final class StreamOrigins {
    /** The number of streams from which on the oldest are forgotten. */
    private static final int MAX_ORIGINS = 16_384;

    private final Map<Long, StreamOrigin> byRequest = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, StreamOrigin> eldest) {
            return size() > MAX_ORIGINS;
        }
    };

    private StreamOrigins() {}

    // -- construction

    /**
     * Creates a record without streams.
     *
     * @return an empty record
     */
    public static StreamOrigins empty() {
        return new StreamOrigins();
    }

    // -- queries

    /**
     * Finds the origin of a stream.
     *
     * @param requestKey the key of the request that brought its first event
     * @return the origin, or empty if it is not known
     */
    public Optional<StreamOrigin> find(long requestKey) {
        return Optional.ofNullable(byRequest.get(requestKey));
    }

    /**
     * Returns some of the streams.
     *
     * @param condition the condition
     * @return the origins that fulfil it
     */
    public List<StreamOrigin> select(Predicate<StreamOrigin> condition) {
        return byRequest.values().stream().filter(condition).toList();
    }

    // -- commands

    /**
     * Adds origins. Of two for the same request the later one counts.
     *
     * @param origins the origins
     */
    public void add(Collection<StreamOrigin> origins) {
        origins.forEach(origin -> {
            StreamOrigin known = byRequest.get(origin.requestKey());
            if (known == null || known.begunMillis() <= origin.begunMillis()) {
                byRequest.remove(origin.requestKey());
                byRequest.put(origin.requestKey(), origin);
            }
        });
    }

    /**
     * Forgets the streams that have ended by now, in the order in which they were added.
     *
     * @param beforeMillis those that were begun earlier have ended
     */
    public void removeBegunBefore(long beforeMillis) {
        Iterator<StreamOrigin> oldest = byRequest.values().iterator();
        while (oldest.hasNext() && oldest.next().begunMillis() < beforeMillis) {
            oldest.remove();
        }
    }
}

package org.geraniumford.daemon.entry;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumford.core.routing.Explanation;

/** A bounded memory of why requests went where they went, and how they ended. Thread-safe. */
public final class ExplainRecords {
    private static final int CAPACITY = 4096;

    private final Cache<String, Entry> entries =
            Caffeine.newBuilder().maximumSize(CAPACITY).executor(Runnable::run).build();

    private ExplainRecords() {}

    /**
     * The record of one request.
     *
     * @param attempts the decision for each attempt, first to last
     * @param outcome how the request ended; empty while it runs
     */
    public record Entry(List<Explanation> attempts, String outcome) {
        /** Copies the list. */
        public Entry {
            attempts = List.copyOf(attempts);
        }
    }

    // -- construction

    /**
     * Creates an empty memory.
     *
     * @return records of no request
     */
    public static ExplainRecords empty() {
        return new ExplainRecords();
    }

    // -- queries

    /**
     * Finds the record of a request.
     *
     * @param requestId the request
     * @return its record, or empty if it is unknown or too old
     */
    public Optional<Entry> find(String requestId) {
        return Optional.ofNullable(entries.getIfPresent(requestId));
    }

    // -- commands

    void add(String requestId, Explanation explanation) {
        Entry before = find(requestId).orElseGet(() -> new Entry(List.of(), ""));
        List<Explanation> attempts = Stream.concat(before.attempts().stream(), Stream.of(explanation))
                .toList();
        entries.put(requestId, new Entry(attempts, before.outcome()));
    }

    void end(String requestId, String outcome) {
        Entry before = find(requestId).orElseGet(() -> new Entry(List.of(), ""));
        entries.put(requestId, new Entry(before.attempts(), outcome));
    }
}

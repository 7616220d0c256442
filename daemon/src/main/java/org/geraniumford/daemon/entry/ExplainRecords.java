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

    private final Cache<String, RequestRecord> records =
            Caffeine.newBuilder().maximumSize(CAPACITY).executor(Runnable::run).build();

    private ExplainRecords() {}

    /**
     * The record of one request.
     *
     * @param attempts the decision for each attempt, first to last
     * @param outcome how the request ended; empty while it runs
     */
    public record RequestRecord(List<Explanation> attempts, String outcome) {
        /** Copies the list. */
        public RequestRecord {
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
    public Optional<RequestRecord> find(String requestId) {
        return Optional.ofNullable(records.getIfPresent(requestId));
    }

    // -- commands

    void addAttempt(String requestId, Explanation explanation) {
        RequestRecord before = find(requestId).orElseGet(() -> new RequestRecord(List.of(), ""));
        List<Explanation> attempts = Stream.concat(before.attempts().stream(), Stream.of(explanation))
                .toList();
        records.put(requestId, new RequestRecord(attempts, before.outcome()));
    }

    void recordOutcome(String requestId, String outcome) {
        RequestRecord before = find(requestId).orElseGet(() -> new RequestRecord(List.of(), ""));
        records.put(requestId, new RequestRecord(before.attempts(), outcome));
    }
}

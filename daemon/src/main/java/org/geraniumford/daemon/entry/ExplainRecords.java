package org.geraniumford.daemon.entry;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumford.core.routing.Explanation;

/** Keeps the routing decisions and outcomes of the latest requests, at most 4096 of them. Thread-safe. */
public final class ExplainRecords {
    private static final int CAPACITY = 4096;

    private final Cache<String, RequestRecord> records =
            Caffeine.newBuilder().maximumSize(CAPACITY).executor(Runnable::run).build();

    private ExplainRecords() {}

    /**
     * The record of one request.
     *
     * @param attempts the routing decision of each attempt, first to last
     * @param outcome {@code complete}, or the label of the reason for which the request ended early; empty while it is
     *     running
     */
    public record RequestRecord(List<Explanation> attempts, String outcome) {
        /** Copies the list. */
        public RequestRecord {
            attempts = List.copyOf(attempts);
        }
    }

    // -- construction

    /**
     * Creates an empty store of records.
     *
     * @return the store
     */
    public static ExplainRecords empty() {
        return new ExplainRecords();
    }

    // -- queries

    /**
     * Finds the record of a request.
     *
     * @param requestId the request's identifier
     * @return its record; empty if the request is unknown or its record was evicted
     */
    public Optional<RequestRecord> find(String requestId) {
        return Optional.ofNullable(records.getIfPresent(requestId));
    }

    // -- commands

    /** Appends the routing decision of an attempt to a request's record. */
    void addAttempt(String requestId, Explanation explanation) {
        RequestRecord previous = find(requestId).orElseGet(() -> new RequestRecord(List.of(), ""));
        List<Explanation> attempts = Stream.concat(previous.attempts().stream(), Stream.of(explanation))
                .toList();
        records.put(requestId, new RequestRecord(attempts, previous.outcome()));
    }

    /** Records how a request ended. */
    void recordOutcome(String requestId, String outcome) {
        RequestRecord previous = find(requestId).orElseGet(() -> new RequestRecord(List.of(), ""));
        records.put(requestId, new RequestRecord(previous.attempts(), outcome));
    }
}

package org.geraniumford.daemon.entry;

import java.util.concurrent.atomic.AtomicLong;

/** Generates request identifiers that are unique across all entries and all restarts of an entry. Thread-safe. */
final class RequestIdGenerator {
    private final String prefix;
    private final AtomicLong count = new AtomicLong();

    private RequestIdGenerator(String prefix) {
        this.prefix = prefix;
    }

    // -- construction

    static RequestIdGenerator of(String processId, long incarnation) {
        return new RequestIdGenerator(processId + "-" + Long.toString(incarnation, Character.MAX_RADIX) + "-");
    }

    // -- commands

    /** Returns a new identifier. */
    String next() {
        return prefix + Long.toString(count.incrementAndGet(), Character.MAX_RADIX);
    }
}

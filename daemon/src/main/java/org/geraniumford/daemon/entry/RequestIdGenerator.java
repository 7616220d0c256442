package org.geraniumford.daemon.entry;

import java.util.concurrent.atomic.AtomicLong;

/** Makes request identifiers that no other entry and no earlier start of this one makes. Thread-safe. */
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

    String next() {
        return prefix + Long.toString(count.incrementAndGet(), Character.MAX_RADIX);
    }
}

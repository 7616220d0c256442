package org.geraniumford.transport.forward;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.geraniumford.transport.log.LogEvent;

/**
 * The memory for responses that are held until they are complete, those of all requests and calls of a process
 * together. Once they exceed the limit, the largest one is evicted, so that a few servers whose responses do not end
 * cannot use up the heap. Used on its network thread only.
 */
public final class ResponseMemory {
    /** The share of the heap for held responses; the rest is for requests, streams and the state of the process. */
    private static final int HEAP_DIVISOR = 4;

    private final long limitBytes;
    private final Set<HeldBody> bodies = new LinkedHashSet<>();
    private long heldBytes;
    private long evictions;

    private ResponseMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    // -- construction

    /**
     * Creates a memory without responses that is limited to a quarter of this process's heap.
     *
     * @return a new memory
     */
    public static ResponseMemory ofHeap() {
        return ofLimit(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Creates a memory without responses.
     *
     * @param limitBytes the maximum number of bytes that are held together
     * @return a new memory
     */
    public static ResponseMemory ofLimit(long limitBytes) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("limitBytes is less than 1: " + limitBytes);
        }
        return new ResponseMemory(limitBytes);
    }

    // -- queries

    /**
     * Returns how many bytes are held.
     *
     * @return a number from 0 to the limit
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns how many bodies have been evicted.
     *
     * @return a number of 0 or more
     */
    public long evictions() {
        return evictions;
    }

    // -- commands

    /**
     * Creates an empty body.
     *
     * @param evictionListener called, at most once, after the body has been evicted and its bytes are released
     * @return a new body, to be ended by {@link HeldBody#take} or {@link HeldBody#release}
     */
    public HeldBody newBody(Runnable evictionListener) {
        return HeldBody.of(this, evictionListener);
    }

    void add(HeldBody body, int bytes) {
        bodies.add(body);
        heldBytes += bytes;
        while (heldBytes > limitBytes) {
            evictLargest();
        }
    }

    void remove(HeldBody body, long bytes) {
        if (bodies.remove(body)) {
            heldBytes -= bytes;
        }
    }

    private void evictLargest() {
        HeldBody largest =
                bodies.stream().max(Comparator.comparingLong(HeldBody::size)).orElseThrow();
        evictions++;
        LogEvent.of("response_evicted")
                .with("bytes", largest.size())
                .with("held_bytes", heldBytes)
                .with("limit_bytes", limitBytes)
                .with("responses", bodies.size())
                .warn();
        largest.evict();
    }
}

package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.geraniumford.transport.log.LogEvent;

/**
 * The account of the bytes that a process keeps for its callers: bytes that are not decoded, heads and bodies, and
 * responses that are not sent. Bytes are entered before they are kept. Above half of the limit, connections with many
 * bytes are not read, except the largest one, so that one request can always end. Above three quarters, requests with
 * long bodies are refused. Above the limit, the largest half-sent or unread connection is closed. Used on its network
 * thread only.
 */
public final class CallerMemory {
    /** The share of the heap for callers; responses of servers have another quarter. */
    private static final int HEAP_DIVISOR = 4;

    /** A connection with less than this part of the limit is always read. */
    private static final int SMALL_SHARE_DIVISOR = 32;

    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long limitBytes;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private final Set<CallerConnection> paused = new LinkedHashSet<>();
    private final Map<CallerClosure, Long> closures = new EnumMap<>(CallerClosure.class);
    private final Map<CallerClosure, Long> logged = new EnumMap<>(CallerClosure.class);
    private final Map<CallerClosure, Long> loggedNanos = new EnumMap<>(CallerClosure.class);
    private long heldBytes;

    private CallerMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    // -- construction

    /**
     * Creates an empty account that is limited to a quarter of this process's heap.
     *
     * @return a new account
     */
    public static CallerMemory ofHeap() {
        return ofLimit(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Creates an empty account.
     *
     * @param limitBytes the maximum number of bytes, at least 1
     * @return a new account
     */
    public static CallerMemory ofLimit(long limitBytes) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("limitBytes is less than 1: " + limitBytes);
        }
        return new CallerMemory(limitBytes);
    }

    // -- queries

    /**
     * Returns how many bytes are kept.
     *
     * @return a number of 0 or more
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns how many connections were closed, or requests refused, for a cause.
     *
     * @param cause the cause
     * @return a number of 0 or more
     */
    public long closures(CallerClosure cause) {
        return closures.getOrDefault(requireNonNull(cause, "cause is null"), 0L);
    }

    /** Returns whether a request with a long body is refused. */
    boolean isScarce() {
        return heldBytes > limitBytes / 4 * 3;
    }

    private boolean isCalm() {
        return heldBytes <= limitBytes / 2;
    }

    private Optional<CallerConnection> largestHalfSent() {
        return connections.stream()
                .filter(CallerConnection::isHalfSent)
                .max(Comparator.comparingLong(CallerConnection::heldBytes));
    }

    // -- commands

    void add(CallerConnection connection) {
        connections.add(connection);
    }

    void remove(CallerConnection connection) {
        connections.remove(connection);
        paused.remove(connection);
    }

    /** Enters bytes of a connection that are about to be kept. This may close connections, also this one. */
    void reserve(CallerConnection connection, long bytes) {
        heldBytes += bytes;
        while (heldBytes > limitBytes && closeLargest()) {
            // Closing a connection returns its bytes.
        }
        if (!isCalm()
                && connection.heldBytes() > limitBytes / SMALL_SHARE_DIVISOR
                && connection.isHalfSent()
                && largestHalfSent().filter(connection::equals).isEmpty()
                && paused.add(connection)) {
            connection.setReading(false);
        }
    }

    /** Returns bytes to the account. */
    void release(long bytes) {
        heldBytes -= bytes;
        if (paused.isEmpty()) {
            return;
        }
        if (isCalm()) {
            Set<CallerConnection> all = Set.copyOf(paused);
            paused.clear();
            all.forEach(connection -> connection.setReading(true));
        } else {
            largestHalfSent().filter(paused::remove).ifPresent(connection -> connection.setReading(true));
        }
    }

    /**
     * Closes the largest connection whose request has not run, whose caller does not read its responses, or whose
     * caller has sent much behind a request in progress.
     */
    private boolean closeLargest() {
        Optional<CallerConnection> largest = connections.stream()
                .filter(connection ->
                        connection.heldBytes() > 0 && (connection.isExpendable() || connection.isReadAhead()))
                .max(Comparator.comparingLong(CallerConnection::heldBytes));
        largest.ifPresent(connection -> {
            count(CallerClosure.MEMORY_FULL, connection.heldBytes());
            connection.giveUp();
        });
        return largest.isPresent();
    }

    /** Counts a closed connection or a refused request, and logs at most one line a second for each cause. */
    void count(CallerClosure cause, long bytes) {
        long count = closures.merge(cause, 1L, Long::sum);
        long nanos = System.nanoTime();
        Long last = loggedNanos.get(cause);
        if (last != null && nanos - last < LOG_INTERVAL_NANOS) {
            return;
        }
        loggedNanos.put(cause, nanos);
        Long before = logged.put(cause, count);
        LogEvent.of("caller_closed")
                .with("cause", cause.label())
                .with("count", count - (before == null ? 0 : before))
                .with("bytes", bytes)
                .with("held_bytes", heldBytes)
                .with("limit_bytes", limitBytes)
                .with("connections", connections.size())
                .warn();
    }
}

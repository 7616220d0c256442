package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The work that one or more entries have in progress at one backend server.
 *
 * @param server the server's name
 * @param running the number of attempts in progress, including those whose connection is still being opened
 * @param reservedTokens the KV memory reserved for these attempts, in tokens: the length of each prompt plus the
 *     maximum number of its output tokens
 * @param pendingPrefillByPriority the estimated number of prompt tokens that the server has yet to prefill, for each
 *     priority from 0 (the most urgent) to {@link #LEAST_URGENT}; zeros at the end are left out
 */
public record ServerLoad(String server, int running, long reservedTokens, List<Long> pendingPrefillByPriority) {
    /** The priority of the least urgent requests; higher numbers count as this one. */
    public static final int LEAST_URGENT = 9;

    /** Checks and copies the components. */
    public ServerLoad {
        requireNonNull(server, "server is null");
        pendingPrefillByPriority = withoutZerosAtEnd(pendingPrefillByPriority);
    }

    /**
     * Creates a load whose prompts are all of the most urgent priority.
     *
     * @param server the server's name
     * @param running the number of attempts in progress
     * @param reservedTokens the KV memory reserved for these attempts, in tokens
     * @param pendingPrefillTokens the number of prompt tokens that the server has yet to prefill
     */
    public ServerLoad(String server, int running, long reservedTokens, long pendingPrefillTokens) {
        this(server, running, reservedTokens, List.of(pendingPrefillTokens));
    }

    // -- construction

    /**
     * Returns the load of an idle server.
     *
     * @param server the server's name
     * @return a load of 0 requests and 0 tokens
     */
    public static ServerLoad idle(String server) {
        return new ServerLoad(server, 0, 0, List.of());
    }

    /**
     * Returns the load of prompts that are yet to be prefilled.
     *
     * @param server the server's name
     * @param priority the priority of the prompts, at least 0
     * @param tokens the number of tokens
     * @return a load of 0 requests
     */
    static ServerLoad pending(String server, int priority, long tokens) {
        return new ServerLoad(
                server,
                0,
                0,
                IntStream.rangeClosed(0, Math.min(priority, LEAST_URGENT))
                        .mapToObj(level -> level == Math.min(priority, LEAST_URGENT) ? tokens : 0L)
                        .toList());
    }

    // -- queries

    /**
     * Returns the number of prompt tokens of all priorities that the server has yet to prefill.
     *
     * @return the number of tokens
     */
    public long pendingPrefillTokens() {
        return pendingPrefillTokens(LEAST_URGENT);
    }

    /**
     * Returns the number of prompt tokens that the server prefills before those of a new request.
     *
     * @param priority the priority of the new request
     * @return the number of tokens of prompts that are at least as urgent
     */
    public long pendingPrefillTokens(int priority) {
        long sum = 0;
        for (int level = 0; level < pendingPrefillByPriority.size() && level <= priority; level++) {
            sum += pendingPrefillByPriority.get(level);
        }
        return sum;
    }

    // -- combinators

    /**
     * Adds another load at the same server.
     *
     * @param other the other load
     * @return the sum of both loads
     */
    public ServerLoad plus(ServerLoad other) {
        return combined(other, 1);
    }

    /**
     * Subtracts another load at the same server.
     *
     * @param other a load that was added before
     * @return the difference
     */
    public ServerLoad minus(ServerLoad other) {
        return combined(other, -1);
    }

    private ServerLoad combined(ServerLoad other, int sign) {
        int levels = Math.max(pendingPrefillByPriority.size(), other.pendingPrefillByPriority.size());
        return new ServerLoad(
                server,
                running + sign * other.running,
                reservedTokens + sign * other.reservedTokens,
                IntStream.range(0, levels)
                        .mapToObj(level -> pendingAt(level) + sign * other.pendingAt(level))
                        .toList());
    }

    private long pendingAt(int level) {
        return level < pendingPrefillByPriority.size() ? pendingPrefillByPriority.get(level) : 0;
    }

    private static List<Long> withoutZerosAtEnd(List<Long> tokens) {
        int size = tokens.size();
        while (size > 0 && tokens.get(size - 1) == 0) {
            size--;
        }
        return List.copyOf(tokens.subList(0, size));
    }
}

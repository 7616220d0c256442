package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The work that one or more entries have in progress at one backend server, for each priority from 0 (the most urgent)
 * to {@link #LEAST_URGENT}; zeros at the end of a list are left out.
 *
 * @param server the server's name
 * @param runningByPriority the number of attempts in progress, including those whose connection is still being opened
 * @param reservedByPriority the KV memory reserved for these attempts, in tokens: the length of each prompt plus the
 *     maximum number of its output tokens
 * @param pendingPrefillByPriority the estimated number of prompt tokens that the server has yet to prefill
 */
public record ServerLoad(
        String server,
        List<Long> runningByPriority,
        List<Long> reservedByPriority,
        List<Long> pendingPrefillByPriority) {
    /** The priority of the least urgent requests; higher numbers count as this one. */
    public static final int LEAST_URGENT = 9;

    /** Checks and copies the components. */
    public ServerLoad {
        requireNonNull(server, "server is null");
        runningByPriority = withoutZerosAtEnd(runningByPriority);
        reservedByPriority = withoutZerosAtEnd(reservedByPriority);
        pendingPrefillByPriority = withoutZerosAtEnd(pendingPrefillByPriority);
    }

    /**
     * Creates a load whose attempts are all of the most urgent priority.
     *
     * @param server the server's name
     * @param running the number of attempts in progress
     * @param reservedTokens the KV memory reserved for these attempts, in tokens
     * @param pendingPrefillByPriority the number of prompt tokens that the server has yet to prefill, by priority
     */
    public ServerLoad(String server, int running, long reservedTokens, List<Long> pendingPrefillByPriority) {
        this(server, List.of((long) running), List.of(reservedTokens), pendingPrefillByPriority);
    }

    /**
     * Creates a load whose attempts and prompts are all of the most urgent priority.
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
     * Returns a load of one priority.
     *
     * @param server the server's name
     * @param priority the priority, at least 0
     * @param running the number of attempts in progress
     * @param reservedTokens the KV memory reserved for these attempts, in tokens
     * @param pendingPrefillTokens the number of prompt tokens that the server has yet to prefill
     * @return the load
     */
    public static ServerLoad of(
            String server, int priority, int running, long reservedTokens, long pendingPrefillTokens) {
        return new ServerLoad(
                server, at(priority, running), at(priority, reservedTokens), at(priority, pendingPrefillTokens));
    }

    private static List<Long> at(int priority, long number) {
        int level = Math.min(priority, LEAST_URGENT);
        return IntStream.rangeClosed(0, level)
                .mapToObj(each -> each == level ? number : 0L)
                .toList();
    }

    // -- queries

    /**
     * Returns the number of attempts of all priorities.
     *
     * @return the number of attempts in progress
     */
    public int running() {
        return running(LEAST_URGENT);
    }

    /**
     * Returns the number of attempts that don't yield to a new request.
     *
     * @param priority the priority of the new request
     * @return the number of attempts that are at least as urgent; 0 for a negative priority
     */
    public int running(int priority) {
        return (int) sumTo(runningByPriority, priority);
    }

    /**
     * Returns the memory that is reserved for attempts of all priorities.
     *
     * @return the number of tokens
     */
    public long reservedTokens() {
        return reservedTokens(LEAST_URGENT);
    }

    /**
     * Returns the memory of the attempts that don't yield to a new request.
     *
     * @param priority the priority of the new request
     * @return the number of tokens of attempts that are at least as urgent; 0 for a negative priority
     */
    public long reservedTokens(int priority) {
        return sumTo(reservedByPriority, priority);
    }

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
        return sumTo(pendingPrefillByPriority, priority);
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
        return new ServerLoad(
                server,
                combined(runningByPriority, other.runningByPriority, sign),
                combined(reservedByPriority, other.reservedByPriority, sign),
                combined(pendingPrefillByPriority, other.pendingPrefillByPriority, sign));
    }

    private static List<Long> combined(List<Long> first, List<Long> second, int sign) {
        if (second.isEmpty()) {
            return first;
        }
        // Entries add up every load that a peer announces, some thousand a second; streams cost several times as much.
        Long[] sums = new Long[Math.max(first.size(), second.size())];
        for (int level = 0; level < sums.length; level++) {
            sums[level] = at(first, level) + sign * at(second, level);
        }
        return List.of(sums);
    }

    private static long at(List<Long> numbers, int level) {
        return level < numbers.size() ? numbers.get(level) : 0;
    }

    private static long sumTo(List<Long> numbers, int priority) {
        long sum = 0;
        for (int level = 0; level < numbers.size() && level <= priority; level++) {
            sum += numbers.get(level);
        }
        return sum;
    }

    private static List<Long> withoutZerosAtEnd(List<Long> numbers) {
        int size = numbers.size();
        while (size > 0 && numbers.get(size - 1) == 0) {
            size--;
        }
        return List.copyOf(size == numbers.size() ? numbers : numbers.subList(0, size));
    }
}

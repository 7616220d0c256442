package org.geraniumford.core.tokens;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptTokenState;

/**
 * Records which attempt tokens one sidecar has used for a call to its backend server, and which it has closed. Each
 * token is used at most once. Tokens that may be older than the registry, or that it may have evicted, are refused. Not
 * thread-safe.
 */
public final class AttemptTokenRegistry {
    private final int capacity;
    private final Map<String, TokenRecord> tokens = new HashMap<>();
    private final NavigableSet<TokenRecord> byAge =
            new TreeSet<>(Comparator.comparingLong(TokenRecord::issuedMicros).thenComparing(TokenRecord::token));
    private long retainedSinceMicros;

    private AttemptTokenRegistry(long retainedSinceMicros, int capacity) {
        this.retainedSinceMicros = retainedSinceMicros;
        this.capacity = capacity;
    }

    // -- construction

    /**
     * Creates an empty registry.
     *
     * @param startMicros when the sidecar started, in microseconds since the epoch
     * @param clockSkew the largest difference between the clocks of two hosts
     * @param capacity the maximum number of tokens to retain, at least 1
     * @return a registry that treats tokens that may have been issued before the start as
     *     {@link AttemptTokenState#UNKNOWN}
     * @throws IllegalArgumentException if the capacity is less than 1
     */
    public static AttemptTokenRegistry start(long startMicros, Duration clockSkew, int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity is " + capacity + ", not at least 1");
        }
        return new AttemptTokenRegistry(startMicros + TimeUnit.NANOSECONDS.toMicros(clockSkew.toNanos()), capacity);
    }

    // -- commands

    /**
     * Uses a token unless it was used or closed before or its state is unknown.
     *
     * @param token the token
     * @param issuedMicros when the token was issued, in microseconds since the epoch
     * @return empty if the call may be forwarded now; otherwise the refusal
     */
    public Optional<Refusal> tryUse(String token, long issuedMicros) {
        AttemptTokenState current = state(token, issuedMicros);
        if (current == null) {
            add(new TokenRecord(token, issuedMicros, AttemptTokenState.PASSED));
            return Optional.empty();
        }
        return Optional.of(
                switch (current) {
                    case CLOSED ->
                        Refusal.notRun(Reason.TOKEN_CLOSED, "the attempt token was closed before the call came");
                    case PASSED ->
                        Refusal.of(Reason.TOKEN_USED, Verdict.MAY_HAVE_RUN, "the attempt token was passed on before");
                    case UNKNOWN ->
                        Refusal.of(
                                Reason.TOKEN_USED,
                                Verdict.MAY_HAVE_RUN,
                                "the attempt token is older than the sidecar's memory");
                });
    }

    /**
     * Closes a token unless it was used before or its state is unknown.
     *
     * @param token the token
     * @param issuedMicros when the token was issued, in microseconds since the epoch
     * @return the state of the token after the call
     */
    public AttemptTokenState close(String token, long issuedMicros) {
        AttemptTokenState current = state(token, issuedMicros);
        if (current != null) {
            return current;
        }
        add(new TokenRecord(token, issuedMicros, AttemptTokenState.CLOSED));
        return AttemptTokenState.CLOSED;
    }

    /** Retains a token; if there are then more than the capacity, evicts the one with the earliest issue time. */
    private void add(TokenRecord added) {
        tokens.put(added.token(), added);
        byAge.add(added);
        while (tokens.size() > capacity) {
            TokenRecord oldest = byAge.pollFirst();
            tokens.remove(oldest.token());
            retainedSinceMicros = Math.max(retainedSinceMicros, oldest.issuedMicros() + 1);
        }
    }

    // -- queries

    /**
     * Returns the number of tokens retained.
     *
     * @return 0 up to the capacity
     */
    public int size() {
        return tokens.size();
    }

    /**
     * Returns the earliest issue time from which the registry retains every used or closed token.
     *
     * @return the time in microseconds since the epoch; a token issued earlier is unknown unless it is still retained
     */
    public long retainedSinceMicros() {
        return retainedSinceMicros;
    }

    /** Returns the state of a token, or null if it was neither used nor closed. */
    private AttemptTokenState state(String token, long issuedMicros) {
        TokenRecord retained = tokens.get(requireNonNull(token, "token is null"));
        if (retained != null) {
            return retained.state();
        }
        return issuedMicros < retainedSinceMicros ? AttemptTokenState.UNKNOWN : null;
    }

    private record TokenRecord(String token, long issuedMicros, AttemptTokenState state) {}
}

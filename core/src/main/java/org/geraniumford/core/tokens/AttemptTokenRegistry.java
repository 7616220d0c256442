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
 * The attempt tokens that one sidecar has passed to its backend server or closed. Each is passed at most once. Tokens
 * that may be older than the register, or that it had to forget, are never passed. Not thread-safe.
 */
public final class AttemptTokenRegistry {
    private final int capacity;
    private final Map<String, TokenRecord> tokens = new HashMap<>();
    private final NavigableSet<TokenRecord> byAge =
            new TreeSet<>(Comparator.comparingLong(TokenRecord::issuedMicros).thenComparing(TokenRecord::token));
    private long retainedSinceMicros;

    private AttemptTokenRegistry(long horizonMicros, int capacity) {
        this.retainedSinceMicros = horizonMicros;
        this.capacity = capacity;
    }

    // -- construction

    /**
     * Creates an empty register.
     *
     * @param startMicros when the sidecar started, in microseconds since the epoch
     * @param clockSkew the largest difference between the clocks of two hosts
     * @param capacity how many tokens to remember, at least 1
     * @return a register that knows nothing of tokens made before the start
     */
    public static AttemptTokenRegistry start(long startMicros, Duration clockSkew, int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity is " + capacity + ", not at least 1");
        }
        return new AttemptTokenRegistry(startMicros + TimeUnit.NANOSECONDS.toMicros(clockSkew.toNanos()), capacity);
    }

    // -- commands

    /**
     * Takes the one permission to pass a token on.
     *
     * @param token the token
     * @param issuedMicros when it was made, in microseconds since the epoch
     * @return empty if the token may be passed now; otherwise why not
     */
    public Optional<Refusal> tryUse(String token, long issuedMicros) {
        AttemptTokenState before = state(token, issuedMicros);
        if (before == null) {
            add(new TokenRecord(token, issuedMicros, AttemptTokenState.PASSED));
            return Optional.empty();
        }
        return Optional.of(
                switch (before) {
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
     * Closes a token that was not passed yet.
     *
     * @param token the token
     * @param issuedMicros when it was made, in microseconds since the epoch
     * @return what became of the token
     */
    public AttemptTokenState close(String token, long issuedMicros) {
        AttemptTokenState before = state(token, issuedMicros);
        if (before != null) {
            return before;
        }
        add(new TokenRecord(token, issuedMicros, AttemptTokenState.CLOSED));
        return AttemptTokenState.CLOSED;
    }

    private void add(TokenRecord entry) {
        tokens.put(entry.token(), entry);
        byAge.add(entry);
        while (tokens.size() > capacity) {
            TokenRecord oldest = byAge.pollFirst();
            tokens.remove(oldest.token());
            retainedSinceMicros = Math.max(retainedSinceMicros, oldest.issuedMicros() + 1);
        }
    }

    // -- queries

    /**
     * Returns the number of tokens remembered.
     *
     * @return 0 up to the capacity
     */
    public int size() {
        return tokens.size();
    }

    /**
     * Returns from when on the register remembers every token.
     *
     * @return microseconds since the epoch; tokens made earlier are unknown unless they are still remembered
     */
    public long retainedSinceMicros() {
        return retainedSinceMicros;
    }

    private AttemptTokenState state(String token, long issuedMicros) {
        TokenRecord known = tokens.get(requireNonNull(token, "token is null"));
        if (known != null) {
            return known.state();
        }
        return issuedMicros < retainedSinceMicros ? AttemptTokenState.UNKNOWN : null;
    }

    private record TokenRecord(String token, long issuedMicros, AttemptTokenState state) {}
}

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
import org.geraniumford.core.wire.TokenState;

/**
 * The attempt tokens that one sidecar has passed to its backend server or closed. Each is passed at most once. Tokens
 * that may be older than the register, or that it had to forget, are never passed. Not thread-safe.
 */
public final class TokenRegister {
    private final int capacity;
    private final Map<String, Entry> entries = new HashMap<>();
    private final NavigableSet<Entry> byAge =
            new TreeSet<>(Comparator.comparingLong(Entry::issuedMicros).thenComparing(Entry::token));
    private long horizonMicros;

    private TokenRegister(long horizonMicros, int capacity) {
        this.horizonMicros = horizonMicros;
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
    public static TokenRegister start(long startMicros, Duration clockSkew, int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity is " + capacity + ", not at least 1");
        }
        return new TokenRegister(startMicros + TimeUnit.NANOSECONDS.toMicros(clockSkew.toNanos()), capacity);
    }

    // -- commands

    /**
     * Takes the one permission to pass a token on.
     *
     * @param token the token
     * @param issuedMicros when it was made, in microseconds since the epoch
     * @return empty if the token may be passed now; otherwise why not
     */
    public Optional<Refusal> pass(String token, long issuedMicros) {
        TokenState before = state(token, issuedMicros);
        if (before == null) {
            remember(new Entry(token, issuedMicros, TokenState.PASSED));
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
    public TokenState close(String token, long issuedMicros) {
        TokenState before = state(token, issuedMicros);
        if (before != null) {
            return before;
        }
        remember(new Entry(token, issuedMicros, TokenState.CLOSED));
        return TokenState.CLOSED;
    }

    private void remember(Entry entry) {
        entries.put(entry.token(), entry);
        byAge.add(entry);
        while (entries.size() > capacity) {
            Entry oldest = byAge.pollFirst();
            entries.remove(oldest.token());
            horizonMicros = Math.max(horizonMicros, oldest.issuedMicros() + 1);
        }
    }

    // -- queries

    /**
     * Returns the number of tokens remembered.
     *
     * @return 0 up to the capacity
     */
    public int size() {
        return entries.size();
    }

    /**
     * Returns from when on the register remembers every token.
     *
     * @return microseconds since the epoch; tokens made earlier are unknown unless they are still remembered
     */
    public long horizonMicros() {
        return horizonMicros;
    }

    private TokenState state(String token, long issuedMicros) {
        Entry known = entries.get(requireNonNull(token, "token is null"));
        if (known != null) {
            return known.state();
        }
        return issuedMicros < horizonMicros ? TokenState.UNKNOWN : null;
    }

    private record Entry(String token, long issuedMicros, TokenState state) {}
}

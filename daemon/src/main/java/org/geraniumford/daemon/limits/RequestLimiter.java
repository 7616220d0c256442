package org.geraniumford.daemon.limits;

import java.util.Optional;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.verdict.Refusal;

/** Admits customers' requests within their limits. Thread-safe. */
public interface RequestLimiter {
    /**
     * Admits a request, or says why not. A request admitted must be followed by {@link #release}.
     *
     * @param customer whose request it is
     * @param estimatedTokens the tokens of the prompt and of the longest answer
     * @return empty if admitted; otherwise the refusal, with the time to come back
     */
    Optional<Refusal> admit(Customer customer, long estimatedTokens);

    /**
     * Ends a request that was admitted.
     *
     * @param customer whose request it was
     * @param extraTokens the tokens used less those estimated; may be negative
     */
    void release(Customer customer, long extraTokens);

    /**
     * Returns a gate without limits.
     *
     * @return a gate that admits every request
     */
    static RequestLimiter unlimited() {
        return new RequestLimiter() {
            @Override
            public Optional<Refusal> admit(Customer customer, long estimatedTokens) {
                return Optional.empty();
            }

            @Override
            public void release(Customer customer, long extraTokens) {}
        };
    }
}

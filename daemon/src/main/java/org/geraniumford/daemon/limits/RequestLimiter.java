package org.geraniumford.daemon.limits;

import java.util.Optional;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.verdict.Refusal;

/** Admits customers' requests within their limits. Thread-safe. */
public interface RequestLimiter {
    /**
     * Admits a request or refuses it. Each admitted request must be followed by one call of {@link #release}.
     *
     * @param customer the customer whose request it is
     * @param estimatedTokens the tokens of the prompt plus the maximum number of output tokens; 0 for a call of a plain
     *     service
     * @return empty if admitted; otherwise the refusal, with its retry-after
     */
    Optional<Refusal> admit(Customer customer, long estimatedTokens);

    /**
     * Records that an admitted request has ended.
     *
     * @param customer the customer whose request it was
     * @param extraTokens the tokens used minus the tokens estimated; may be negative
     */
    void release(Customer customer, long extraTokens);

    /**
     * Returns a limiter without limits.
     *
     * @return a limiter that admits every request
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

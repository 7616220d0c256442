package org.geraniumford.core.request;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.geraniumford.core.routing.Fleet;
import org.geraniumford.core.routing.Hint;

/**
 * What a decision may depend on besides the request.
 *
 * @param nowNanos the time of the monotonic clock
 * @param fleet the engines connected now
 * @param hint where a prefix of the prompt was last served
 * @param retryAvailable whether the retry budget holds a retry
 * @param random a random number from 0 inclusive to 1 exclusive
 */
public record RequestContext(long nowNanos, Fleet fleet, Optional<Hint> hint, boolean retryAvailable, double random) {
    /** Checks the components. */
    public RequestContext {
        requireNonNull(fleet, "fleet is null");
        requireNonNull(hint, "hint is null");
    }
}

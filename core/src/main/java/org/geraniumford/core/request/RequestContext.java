package org.geraniumford.core.request;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.geraniumford.core.routing.ConnectedEngines;
import org.geraniumford.core.routing.Hint;

/**
 * The input of a decision besides the request's own state.
 *
 * @param nowNanos the current time, in nanoseconds of a monotonic clock
 * @param engines the connected engines
 * @param hint where a prefix of the prompt was last served; empty if not known
 * @param retryAvailable whether the retry budget allows a retry
 * @param random a random number from 0 inclusive to 1 exclusive, for the jitter of the backoff
 */
public record RequestContext(
        long nowNanos, ConnectedEngines engines, Optional<Hint> hint, boolean retryAvailable, double random) {
    /** Checks that no component is null. */
    public RequestContext {
        requireNonNull(engines, "engines is null");
        requireNonNull(hint, "hint is null");
    }
}

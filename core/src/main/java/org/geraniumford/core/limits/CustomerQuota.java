package org.geraniumford.core.limits;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.geraniumford.core.prompt.PromptSpec;

/**
 * The limit of a customer over all entries, as defined by the configuration.
 *
 * @param rate how much the customer may use a second on average, in units, above 0
 * @param burst how much it may use at once after it has used nothing, in units; 0 if none is configured
 * @param unit what is counted
 * @param plainTokens how many tokens a request without a prompt counts as
 */
public record CustomerQuota(double rate, double burst, Unit unit, long plainTokens) {
    /** What a limit counts. */
    public enum Unit {
        /** Each request counts as 1. */
        REQUESTS,
        /** Each request counts as its prompt tokens plus its maximum number of output tokens. */
        TOKENS
    }

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a number is out of range
     */
    public CustomerQuota {
        requireNonNull(unit, "unit is null");
        if (!(rate > 0 && Double.isFinite(rate) && burst >= 0 && Double.isFinite(burst) && plainTokens >= 0)) {
            throw new IllegalArgumentException("rate " + rate + ", burst " + burst + ", plain " + plainTokens);
        }
    }

    // -- queries

    /**
     * Returns what a request counts as.
     *
     * @param prompt the request's prompt; empty if it has none
     * @return a number of units, 0 or more
     */
    public long cost(Optional<PromptSpec> prompt) {
        return switch (unit) {
            case REQUESTS -> 1;
            case TOKENS -> Math.max(0, prompt.map(PromptSpec::totalTokens).orElse(plainTokens));
        };
    }
}

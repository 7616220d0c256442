package org.geraniumford.core.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;

/** Limits the requests that one entry admits of one customer. Thread-safe. */
final class LocalLimiter {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final double SECONDS_PER_KILOSECOND = 1_000;

    /** The capacity of a bucket, in seconds of the entry's rate. The bucket of requests holds at least 1. */
    private static final double BURST_SECONDS = 0.25;

    /**
     * The initial balance of a bucket, in seconds of the customer's whole limit. The bucket of requests starts with at
     * least 1.
     */
    private static final double INITIAL_BURST_SECONDS = 0.1;

    private static final long INITIAL_REPORT_INTERVAL_MICROS = 250_000;

    /** A granted share is valid for this many report intervals and 1 s more. */
    private static final int SHARE_VALIDITY_REPORT_INTERVALS = 4;

    private final RateBucket requests;
    private final RateBucket tokens;
    private final long startMicros;
    private Optional<LimitShare> share = Optional.empty();
    private long shareExpiresMicros;
    private long blockedUntilMicros;
    private long nextReportMicros;
    private long lastReportMicros;
    private long admittedRequests;
    private long receivedRequests;
    private long admittedTokens;
    private long receivedTokens;
    private int streams;

    LocalLimiter(Customer customer, long nowMicros) {
        this.requests = new RateBucket(Math.max(1, customer.requestsPerSecond() * INITIAL_BURST_SECONDS), nowMicros);
        this.tokens = new RateBucket(customer.tokensPerSecond() * INITIAL_BURST_SECONDS, nowMicros);
        this.startMicros = nowMicros;
        this.nextReportMicros = nowMicros;
        // The first report is due at once. Its period is at least 1 s, so that a few requests count as a low rate.
        this.lastReportMicros = nowMicros - MICROS_PER_SECOND;
    }

    // -- commands

    synchronized Optional<Refusal> admit(Customer customer, long estimatedTokens, int entryCount, long nowMicros) {
        receivedRequests++;
        receivedTokens += estimatedTokens;
        double requestRate = effectiveRate(customer.requestsPerSecond(), entryCount, requestShare(nowMicros));
        double tokenRate = effectiveRate(customer.tokensPerSecond(), entryCount, tokenShare(nowMicros));
        requests.refill(requestRate, Math.max(1, requestRate * BURST_SECONDS), nowMicros);
        tokens.refill(tokenRate, tokenRate * BURST_SECONDS, nowMicros);
        Optional<Refusal> refusal = checkLimits(customer, requestRate, tokenRate, entryCount, nowMicros);
        if (refusal.isEmpty()) {
            requests.consume(1);
            tokens.consume((double) estimatedTokens);
            admittedRequests++;
            admittedTokens += estimatedTokens;
            streams++;
        }
        return refusal;
    }

    synchronized void release(long extraTokens) {
        streams = Math.max(0, streams - 1);
        tokens.consume((double) extraTokens);
        admittedTokens += extraTokens;
        receivedTokens += extraTokens;
    }

    synchronized void applyShare(LimitShare granted, long nowMicros) {
        share = Optional.of(granted);
        shareExpiresMicros =
                nowMicros + SHARE_VALIDITY_REPORT_INTERVALS * granted.reportAfterMicros() + MICROS_PER_SECOND;
        blockedUntilMicros = nowMicros + granted.blockedMicros();
        nextReportMicros = lastReportMicros + granted.reportAfterMicros();
    }

    /**
     * Returns the usage since the last report and resets the counters; empty if no report is due or nothing was used.
     */
    synchronized Optional<LimitUsage> takeReport(String customer, String entry, long nowMicros) {
        if (nowMicros < nextReportMicros || (receivedRequests == 0 && admittedTokens == 0 && streams == 0)) {
            return Optional.empty();
        }
        LimitUsage usage = new LimitUsage(
                customer,
                entry,
                Math.max(1, nowMicros - lastReportMicros),
                admittedRequests,
                receivedRequests,
                admittedTokens,
                receivedTokens,
                streams);
        admittedRequests = 0;
        receivedRequests = 0;
        admittedTokens = 0;
        receivedTokens = 0;
        lastReportMicros = nowMicros;
        nextReportMicros = nowMicros + share.map(LimitShare::reportAfterMicros).orElse(INITIAL_REPORT_INTERVAL_MICROS);
        return Optional.of(usage);
    }

    /** Adds a report that could not be sent to the next one, whose period is extended to cover it. */
    synchronized void restoreReport(LimitUsage usage) {
        admittedRequests += usage.requests();
        receivedRequests += usage.receivedRequests();
        admittedTokens += usage.tokens();
        receivedTokens += usage.receivedTokens();
        lastReportMicros -= usage.periodMicros();
    }

    // -- queries

    /**
     * Returns whether this limiter can be removed: no request is in progress, none was received since the last report,
     * the granted share has expired, and more than 1 s has passed since the limiter was created.
     */
    synchronized boolean isIdle(long nowMicros) {
        return streams == 0
                && receivedRequests == 0
                && nowMicros > shareExpiresMicros
                && nowMicros > startMicros + MICROS_PER_SECOND;
    }

    private Optional<Refusal> checkLimits(
            Customer customer, double requestRate, double tokenRate, int entryCount, long nowMicros) {
        if (nowMicros < blockedUntilMicros) {
            // The granted share does not contain which of the two limits was exceeded.
            Reason reason = customer.requestsPerSecond() > 0 ? Reason.REQUEST_RATE_LIMITED : Reason.TOKEN_RATE_LIMITED;
            return limitReached(reason, blockedUntilMicros - nowMicros);
        } else if (customer.requestsPerSecond() > 0 && !requests.hasBalance(1)) {
            return limitReached(Reason.REQUEST_RATE_LIMITED, requests.microsUntil(1, requestRate));
        } else if (customer.tokensPerSecond() > 0 && !tokens.hasBalance(0)) {
            return limitReached(Reason.TOKEN_RATE_LIMITED, tokens.microsUntil(0, tokenRate));
        } else if (customer.maxStreams() > 0 && streams >= streamShare(customer, entryCount, nowMicros)) {
            return limitReached(Reason.STREAMS_LIMITED, MICROS_PER_SECOND);
        }
        return Optional.empty();
    }

    /**
     * Returns a refusal whose retry-after delay is the wait, at least {@link Refusal#MIN_RETRY_AFTER} and at most 60 s.
     */
    private static Optional<Refusal> limitReached(Reason reason, long waitMicros) {
        Duration wait = Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(Math.min(waitMicros, 60 * MICROS_PER_SECOND)));
        return Optional.of(Refusal.notRun(reason, "the customer's limit over all entries is reached")
                .withRetryAfter(wait.compareTo(Refusal.MIN_RETRY_AFTER) < 0 ? Refusal.MIN_RETRY_AFTER : wait));
    }

    /**
     * Returns the rate granted, or an equal share of the limit while the owner does not respond; never 0, because the
     * retry-after delay is computed by dividing by it.
     */
    private static double effectiveRate(int limit, int entryCount, Optional<Double> grantedRate) {
        return Math.max(grantedRate.orElse((double) limit / Math.max(1, entryCount)), 1.0 / SECONDS_PER_KILOSECOND);
    }

    private Optional<Double> requestShare(long nowMicros) {
        return validShare(nowMicros).map(valid -> valid.requestsPerKilosecond() / SECONDS_PER_KILOSECOND);
    }

    private Optional<Double> tokenShare(long nowMicros) {
        return validShare(nowMicros).map(valid -> (double) valid.tokensPerSecond());
    }

    private int streamShare(Customer customer, int entryCount, long nowMicros) {
        return validShare(nowMicros)
                .map(LimitShare::streams)
                .orElse(Math.max(1, customer.maxStreams() / Math.max(1, entryCount)));
    }

    synchronized Optional<LimitShare> share(long nowMicros) {
        return validShare(nowMicros);
    }

    private Optional<LimitShare> validShare(long nowMicros) {
        return share.filter(granted -> nowMicros < shareExpiresMicros);
    }
}

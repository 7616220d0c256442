package org.geraniumford.core.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;

/** What one entry admits of one customer. Thread-safe. */
final class LocalLimit {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final double KILOSECOND = 1_000;
    private static final double BURST_SECONDS = 0.25;
    private static final double FIRST_SECONDS = 0.1;
    private static final long FIRST_REPORT_MICROS = 250_000;
    private static final int SHARE_REPORTS = 4;

    private final RateBucket requests;
    private final RateBucket tokens;
    private final long startMicros;
    private Optional<LimitShare> share = Optional.empty();
    private long shareUntilMicros;
    private long blockedUntilMicros;
    private long reportAtMicros;
    private long reportedMicros;
    private long admittedRequests;
    private long wantedRequests;
    private long admittedTokens;
    private long wantedTokens;
    private int streams;

    LocalLimit(Customer customer, long nowMicros) {
        this.requests = new RateBucket(Math.max(1, customer.requestsPerSecond() * FIRST_SECONDS), nowMicros);
        this.tokens = new RateBucket(customer.tokensPerSecond() * FIRST_SECONDS, nowMicros);
        this.startMicros = nowMicros;
        this.reportAtMicros = nowMicros;
        this.reportedMicros = nowMicros - MICROS_PER_SECOND;
    }

    // -- commands

    synchronized Optional<Refusal> admit(Customer customer, long estimatedTokens, int entries, long nowMicros) {
        wantedRequests++;
        wantedTokens += estimatedTokens;
        double requestRate = rate(customer.requestsPerSecond(), entries, requestShare(nowMicros));
        double tokenRate = rate(customer.tokensPerSecond(), entries, tokenShare(nowMicros));
        requests.fill(requestRate, Math.max(1, requestRate * BURST_SECONDS), nowMicros);
        tokens.fill(tokenRate, tokenRate * BURST_SECONDS, nowMicros);
        Optional<Refusal> refusal = refusal(customer, requestRate, tokenRate, entries, nowMicros);
        if (refusal.isEmpty()) {
            requests.take(1);
            tokens.take((double) estimatedTokens);
            admittedRequests++;
            admittedTokens += estimatedTokens;
            streams++;
        }
        return refusal;
    }

    synchronized void finished(long extraTokens) {
        streams = Math.max(0, streams - 1);
        tokens.take((double) extraTokens);
        admittedTokens += extraTokens;
        wantedTokens += extraTokens;
    }

    synchronized void granted(LimitShare granted, long nowMicros) {
        share = Optional.of(granted);
        shareUntilMicros = nowMicros + SHARE_REPORTS * granted.reportAfterMicros() + MICROS_PER_SECOND;
        blockedUntilMicros = nowMicros + granted.blockedMicros();
        reportAtMicros = reportedMicros + granted.reportAfterMicros();
    }

    synchronized Optional<LimitUsage> report(String customer, String entry, long nowMicros) {
        if (nowMicros < reportAtMicros || (wantedRequests == 0 && admittedTokens == 0 && streams == 0)) {
            return Optional.empty();
        }
        LimitUsage usage = new LimitUsage(
                customer,
                entry,
                Math.max(1, nowMicros - reportedMicros),
                admittedRequests,
                wantedRequests,
                admittedTokens,
                wantedTokens,
                streams);
        admittedRequests = 0;
        wantedRequests = 0;
        admittedTokens = 0;
        wantedTokens = 0;
        reportedMicros = nowMicros;
        reportAtMicros = nowMicros + share.map(LimitShare::reportAfterMicros).orElse(FIRST_REPORT_MICROS);
        return Optional.of(usage);
    }

    synchronized void unsent(LimitUsage usage) {
        admittedRequests += usage.requests();
        wantedRequests += usage.wantedRequests();
        admittedTokens += usage.tokens();
        wantedTokens += usage.wantedTokens();
        reportedMicros -= usage.periodMicros();
    }

    // -- queries

    synchronized boolean idle(long nowMicros) {
        return streams == 0
                && wantedRequests == 0
                && nowMicros > shareUntilMicros
                && nowMicros > startMicros + MICROS_PER_SECOND;
    }

    private Optional<Refusal> refusal(
            Customer customer, double requestRate, double tokenRate, int entries, long nowMicros) {
        if (nowMicros < blockedUntilMicros) {
            Reason reason = customer.requestsPerSecond() > 0 ? Reason.REQUEST_RATE_LIMITED : Reason.TOKEN_RATE_LIMITED;
            return refused(reason, blockedUntilMicros - nowMicros);
        } else if (customer.requestsPerSecond() > 0 && !requests.holds(1)) {
            return refused(Reason.REQUEST_RATE_LIMITED, requests.microsUntil(1, requestRate));
        } else if (customer.tokensPerSecond() > 0 && !tokens.holds(0)) {
            return refused(Reason.TOKEN_RATE_LIMITED, tokens.microsUntil(0, tokenRate));
        } else if (customer.maxStreams() > 0 && streams >= streamShare(customer, entries, nowMicros)) {
            return refused(Reason.STREAMS_LIMITED, MICROS_PER_SECOND);
        }
        return Optional.empty();
    }

    private static Optional<Refusal> refused(Reason reason, long waitMicros) {
        Duration wait = Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(Math.min(waitMicros, 60 * MICROS_PER_SECOND)));
        return Optional.of(Refusal.notRun(reason, "the customer's limit over all entries is reached")
                .withRetryAfter(wait.compareTo(Refusal.MIN_RETRY_AFTER) < 0 ? Refusal.MIN_RETRY_AFTER : wait));
    }

    /** Returns the rate granted, or an equal share while the home does not answer. */
    private static double rate(int limit, int entries, Optional<Double> granted) {
        return Math.max(granted.orElse((double) limit / Math.max(1, entries)), 1.0 / KILOSECOND);
    }

    private Optional<Double> requestShare(long nowMicros) {
        return valid(nowMicros).map(held -> held.requestsPerKilosecond() / KILOSECOND);
    }

    private Optional<Double> tokenShare(long nowMicros) {
        return valid(nowMicros).map(held -> (double) held.tokensPerSecond());
    }

    private int streamShare(Customer customer, int entries, long nowMicros) {
        return valid(nowMicros)
                .map(LimitShare::streams)
                .orElse(Math.max(1, customer.maxStreams() / Math.max(1, entries)));
    }

    synchronized Optional<LimitShare> share(long nowMicros) {
        return valid(nowMicros);
    }

    private Optional<LimitShare> valid(long nowMicros) {
        return share.filter(held -> nowMicros < shareUntilMicros);
    }
}

package org.geraniumford.transport.platform;

import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;

/**
 * Converts a failed request to the platform into a refusal whose verdict states whether the request may have had an
 * effect.
 */
final class PlatformFailures {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private PlatformFailures() {}

    // -- queries

    static Refusal toRefusal(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return refusal(cause).withRetryAfter(RETRY_AFTER);
    }

    private static Refusal refusal(Throwable cause) {
        if (cause instanceof RefusalException refused) {
            return refused.refusal();
        } else if (cause instanceof ConnectException) {
            return Refusal.notRun(Reason.STORE_UNAVAILABLE, "no connection to the platform could be opened");
        } else if (cause instanceof TimeoutException) {
            return Refusal.of(Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, "the platform did not answer in time");
        }
        return Refusal.of(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "the connection to the platform was lost");
    }
}

package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.geraniumford.core.verdict.Reason;

/** What keeps a request from being sent once its connection to the backend server is open. */
enum SendObstacle {
    DEADLINE("the time was over before it was sent", Reason.DEADLINE_PASSED),
    OLD_WEIGHTS("the weights became too old before it was sent", Reason.WRONG_WEIGHTS),
    PAUSE("the server asked for a pause before it was sent", Reason.SERVER_PAUSED);

    private final String detail;
    private final Reason reason;

    SendObstacle(String detail, Reason reason) {
        this.detail = requireNonNull(detail, "detail is null");
        this.reason = requireNonNull(reason, "reason is null");
    }

    // -- construction

    /**
     * Returns what keeps a request from being sent; empty if nothing does.
     *
     * @param timeLeft the time that the request has left
     * @param weightsAllow whether the request may be sent to the weights that the server has
     * @param paused whether the server has asked for a pause that lasts
     */
    static Optional<SendObstacle> of(Duration timeLeft, boolean weightsAllow, boolean paused) {
        if (timeLeft.isNegative() || timeLeft.isZero()) {
            return Optional.of(DEADLINE);
        }
        if (!weightsAllow) {
            return Optional.of(OLD_WEIGHTS);
        }
        return paused ? Optional.of(PAUSE) : Optional.empty();
    }

    // -- queries

    /** Returns the description for the log. */
    String detail() {
        return detail;
    }

    Reason reason() {
        return reason;
    }
}

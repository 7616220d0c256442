package org.geraniumford.core.idempotency;

import java.util.Optional;
import org.geraniumford.core.verdict.Refusal;

/**
 * The progress of a call that must run at most once.
 *
 * @param stage the stage, which determines how the next event is handled
 * @param claim the claim of the current attempt
 * @param version the version of the claim's row; until the claim is written, the version that the write expects, or 0
 *     if the row must not exist
 * @param attempt the number of the current attempt, from 1
 * @param writeRetries the number of retries of writing the claim, over all attempts, and then of recording the response
 * @param failure the refusal that ended the current attempt, if the attempt may have run
 */
record ClaimProgress(Stage stage, Claim claim, long version, int attempt, int writeRetries, Optional<Refusal> failure) {
    /** What the call waits for. */
    enum Stage {
        WRITING_CLAIM,
        READING_BACK,
        CALLING,
        CLOSING_OWN_TOKEN,
        CLOSING_OTHER_TOKEN,
        READING_OTHER_CLAIM,
        RECORDING_RESPONSE,
        ENDED
    }

    // -- construction

    /** Returns the progress of a call whose first claim is about to be written. */
    static ClaimProgress first(Claim claim) {
        return new ClaimProgress(Stage.WRITING_CLAIM, claim, 0, 1, 0, Optional.empty());
    }

    // -- copies

    ClaimProgress withStage(Stage next) {
        return new ClaimProgress(next, claim, version, attempt, writeRetries, failure);
    }

    ClaimProgress withVersion(long rowVersion) {
        return new ClaimProgress(stage, claim, rowVersion, attempt, writeRetries, failure);
    }

    ClaimProgress withNextWriteRetry() {
        return new ClaimProgress(stage, claim, version, attempt, writeRetries + 1, failure);
    }

    ClaimProgress withFailure(Refusal refusal) {
        return new ClaimProgress(stage, claim, version, attempt, writeRetries, Optional.of(refusal));
    }

    /** Returns the progress after an attempt that has not run, with the claim of the next one still to be written. */
    ClaimProgress withNextAttempt(Claim next) {
        return new ClaimProgress(Stage.WRITING_CLAIM, next, version, attempt + 1, writeRetries, Optional.empty());
    }

    /** Returns the progress of a call that has a response, which is still to be recorded. */
    ClaimProgress withResponse(CallResponse response) {
        return new ClaimProgress(
                Stage.RECORDING_RESPONSE, claim.withResponse(response), version, attempt, 0, Optional.empty());
    }
}

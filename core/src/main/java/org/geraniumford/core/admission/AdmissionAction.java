package org.geraniumford.core.admission;

import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.AttemptId;

/** What an admission queue decides. */
public sealed interface AdmissionAction {
    /**
     * Returns the request that is decided on.
     *
     * @return the attempt
     */
    AttemptId id();

    /**
     * Pass the request to the engine now.
     *
     * @param id the attempt
     */
    record Forward(AttemptId id) implements AdmissionAction {}

    /**
     * Answer the request with a refusal; it was not passed to the engine.
     *
     * @param id the attempt
     * @param refusal why, and when to come back
     */
    record Refuse(AttemptId id, Refusal refusal) implements AdmissionAction {}
}

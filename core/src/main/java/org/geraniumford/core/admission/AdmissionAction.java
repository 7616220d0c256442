package org.geraniumford.core.admission;

import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.AttemptId;

/** A decision of an {@link AdmissionQueue} on one request. */
public sealed interface AdmissionAction {
    /**
     * Returns the attempt that the decision is for.
     *
     * @return the attempt's identifier
     */
    AttemptId id();

    /**
     * Forwards the request to the engine now.
     *
     * @param id the attempt's identifier
     */
    record Forward(AttemptId id) implements AdmissionAction {}

    /**
     * Refuses the request, which was not forwarded to the engine.
     *
     * @param id the attempt's identifier
     * @param refusal the reason and the retry-after delay
     */
    record Refuse(AttemptId id, Refusal refusal) implements AdmissionAction {}
}

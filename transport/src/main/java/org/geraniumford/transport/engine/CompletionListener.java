package org.geraniumford.transport.engine;

import java.util.List;
import org.geraniumford.core.verdict.Refusal;

/** Receives the answer to one completion request. Its methods run on a network thread and must not block. */
public interface CompletionListener {
    /**
     * Called with events in the order sent.
     *
     * @param answers one or more events; {@link EngineAnswer.End} is the last one of a complete answer
     */
    void received(List<CompletionEvent> answers);

    /**
     * Called once, instead of {@link EngineAnswer.End}, if the answer cannot be completed.
     *
     * @param refusal why, and whether the request may have run
     */
    void failed(Refusal refusal);
}

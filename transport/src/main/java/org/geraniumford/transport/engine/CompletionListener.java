package org.geraniumford.transport.engine;

import java.util.List;
import org.geraniumford.core.verdict.Refusal;

/** Receives the response to one completion request. Its methods run on a network thread and must not block. */
public interface CompletionListener {
    /**
     * Called with events in the order in which the engine sent them.
     *
     * @param events one or more events; a complete response ends with {@link CompletionEvent.End}
     */
    void received(List<CompletionEvent> events);

    /**
     * Called once if the response cannot be completed. No {@link CompletionEvent.End} is received then.
     *
     * @param refusal the reason, and the verdict on whether the request may have run
     */
    void failed(Refusal refusal);
}

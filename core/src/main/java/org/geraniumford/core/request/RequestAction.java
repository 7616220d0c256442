package org.geraniumford.core.request;

import java.util.List;
import org.geraniumford.core.routing.Explanation;
import org.geraniumford.core.stream.Placement;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.Message;

/** An action of an entry for a model request. */
public sealed interface RequestAction {
    /**
     * Probes a host for the prompt blocks that it caches.
     *
     * @param host the host's name
     */
    record Probe(String host) implements RequestAction {}

    /**
     * Counts a probe whose response did not arrive in time.
     *
     * @param host the probed host's name
     */
    record CountLostProbe(String host) implements RequestAction {}

    /**
     * Records how the host of an attempt was chosen.
     *
     * @param explanation the decision and the costs of the candidates
     */
    record Explain(Explanation explanation) implements RequestAction {}

    /**
     * Submits an attempt. If the message cannot be written, {@link RequestEvent.SubmitFailed} follows.
     *
     * @param host the host's name
     * @param message the submit message
     */
    record Submit(String host, Message.Submit message) implements RequestAction {}

    /**
     * Sends credit or a cancel. A message that cannot be written is dropped without an event.
     *
     * @param host the host's name
     * @param message the message
     */
    record Send(String host, Message message) implements RequestAction {}

    /**
     * Pings a host to check that it is alive.
     *
     * @param host the host's name
     */
    record Ping(String host) implements RequestAction {}

    /**
     * Suspects a host: it gets no new work until a message from it arrives.
     *
     * @param host the host's name
     */
    record Suspect(String host) implements RequestAction {}

    /**
     * Records that an engine has started to serve the prompt, so that it has the prompt's prefixes cached or is
     * prefilling them.
     *
     * @param host the name of the engine's host
     * @param started the engine's message
     */
    record RecordPrefixLocation(String host, Message.Started started) implements RequestAction {}

    /**
     * Delivers tokens to the caller.
     *
     * @param tokens the next tokens of the response
     */
    record Deliver(List<String> tokens) implements RequestAction {}

    /**
     * Counts a frame that was dropped.
     *
     * @param placement why the frame was dropped
     */
    record CountDroppedFrame(Placement placement) implements RequestAction {}

    /**
     * Counts a retry and spends one retry of the retry budget.
     *
     * @param reason why the previous attempt failed
     */
    record CountRetry(Reason reason) implements RequestAction {}

    /**
     * Ends a complete response.
     *
     * @param host the name of the host that completed it
     * @param end the terminal event of the attempt
     */
    record Complete(String host, Message.End end) implements RequestAction {}

    /**
     * Ends the response with an explicit error.
     *
     * @param refusal the error
     */
    record Fail(Refusal refusal) implements RequestAction {}

    /**
     * Ends the request without a response, because the caller cannot receive one.
     *
     * @param reason {@link Reason#CALLER_GONE} or {@link Reason#SLOW_READER}
     */
    record Abandon(Reason reason) implements RequestAction {}
}

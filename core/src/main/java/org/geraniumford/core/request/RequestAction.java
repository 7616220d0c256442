package org.geraniumford.core.request;

import java.util.List;
import org.geraniumford.core.routing.Explanation;
import org.geraniumford.core.stream.Placement;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.Message;

/** What an entry does for a model request. */
public sealed interface RequestAction {
    /**
     * Asks a host what it holds of the prompt.
     *
     * @param host the host
     */
    record Probe(String host) implements RequestAction {}

    /**
     * Counts a probe whose answer did not come in time.
     *
     * @param host the host asked
     */
    record CountLostProbe(String host) implements RequestAction {}

    /**
     * Records why an attempt goes where it goes.
     *
     * @param explanation the decision
     */
    record Explain(Explanation explanation) implements RequestAction {}

    /**
     * Sends an attempt. If it cannot be written, {@link RequestEvent.SubmitFailed} follows.
     *
     * @param host the host
     * @param message the attempt
     */
    record Submit(String host, Message.Submit message) implements RequestAction {}

    /**
     * Sends credit or a cancel; nothing follows if it cannot be written.
     *
     * @param host the host
     * @param message the message
     */
    record Send(String host, Message message) implements RequestAction {}

    /**
     * Asks a host whether it lives.
     *
     * @param host the host
     */
    record Ping(String host) implements RequestAction {}

    /**
     * Gives a host no new work until it says something.
     *
     * @param host the host
     */
    record Suspect(String host) implements RequestAction {}

    /**
     * Records that an engine computes or holds the prompt's prefixes now.
     *
     * @param host the engine's host
     * @param started what the engine said
     */
    record RecordPrefixLocation(String host, Message.Started started) implements RequestAction {}

    /**
     * Passes tokens to the caller.
     *
     * @param tokens the next tokens of the answer
     */
    record Deliver(List<String> tokens) implements RequestAction {}

    /**
     * Counts a frame that was dropped.
     *
     * @param placement why
     */
    record CountDroppedFrame(Placement placement) implements RequestAction {}

    /**
     * Counts a retry.
     *
     * @param reason why the attempt before it failed
     */
    record CountRetry(Reason reason) implements RequestAction {}

    /**
     * Ends the answer: it is complete.
     *
     * @param host the host that finished it
     * @param end its terminal event
     */
    record Complete(String host, Message.End end) implements RequestAction {}

    /**
     * Ends the answer with an explicit error.
     *
     * @param refusal the error
     */
    record Fail(Refusal refusal) implements RequestAction {}

    /**
     * Ends the request of a caller that no answer can reach.
     *
     * @param reason {@link Reason#CALLER_GONE} or {@link Reason#SLOW_READER}
     */
    record Abandon(Reason reason) implements RequestAction {}
}

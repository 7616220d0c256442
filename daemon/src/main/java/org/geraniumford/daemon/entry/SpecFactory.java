package org.geraniumford.daemon.entry;

import java.util.Optional;
import org.geraniumford.core.configuration.Configuration;
import org.geraniumford.core.configuration.Model;
import org.geraniumford.core.configuration.PriorityClass;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;
import org.geraniumford.core.request.RequestSpec;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.transport.link.FrameCodec;

/**
 * Checks callers' requests and creates the specifications that the state machine of requests works on.
 *
 * @param failureDomain the entry's failure domain
 * @param blockTokens the block size of the engines, in tokens
 */
record SpecFactory(String failureDomain, int blockTokens) {
    private static final int FRAME_BYTES_PER_BLOCK = 32;
    private static final int FRAME_OVERHEAD_BYTES = 4 * 1024;

    // -- queries

    /**
     * Checks a request against the configuration and computes the keys of its blocks.
     *
     * @param incoming the authenticated request
     * @param body the request's parsed body
     * @param salt a random number that differs between requests, used for random choices of hosts
     * @return the specification of the request
     * @throws RefusalException if the model or the priority class is unknown, the customer may not use the model, or
     *     the prompt does not fit into one frame
     */
    RequestSpec create(AuthenticatedRequest incoming, CallerRequest body, long salt) {
        Configuration configuration = incoming.configuration();
        Model model = configuration
                .model(body.model())
                .orElseThrow(() -> refusal(Reason.UNKNOWN_MODEL, "no model has the name given in model"));
        if (!incoming.customer().canUseModel(model.name())) {
            throw refusal(Reason.FORBIDDEN, "the customer may not use model " + model.name());
        }
        CacheScope scope = new CacheScope(incoming.customer().name(), model.weightsDigest(), model.adapter());
        PrefixChain chain = PrefixChain.of(scope, body.levels(), blockTokens);
        if (frameBytes(chain) > FrameCodec.MAX_FRAME_BYTES) {
            throw refusal(Reason.BODY_TOO_LARGE, "the prompt does not fit into one message to a sidecar");
        }
        return new RequestSpec(
                incoming.requestId(),
                model.version(),
                scope,
                priorityClass(configuration, body.priorityClass()),
                incoming.customer().weight(),
                chain,
                body.prompt(),
                Math.min(body.maxTokens().orElse(model.maxTokens()), model.maxTokens()),
                incoming.acceptedNanos(),
                failureDomain,
                salt);
    }

    /**
     * Returns an upper bound of the size of the submit message, in bytes. A block's token count is rounded down, so one
     * more token is counted for each block.
     */
    private static long frameBytes(PrefixChain chain) {
        long promptBytes = (long) (chain.tokens() + chain.size()) * PrefixChain.BYTES_PER_TOKEN;
        return promptBytes + (long) chain.size() * FRAME_BYTES_PER_BLOCK + FRAME_OVERHEAD_BYTES;
    }

    private static PriorityClass priorityClass(Configuration configuration, Optional<String> name) {
        return configuration
                .priorityClass(name)
                .orElseThrow(() -> refusal(Reason.MALFORMED_REQUEST, "priority_class is not the name of a class"));
    }

    private static RefusalException refusal(Reason reason, String detail) {
        return Refusal.notRun(reason, detail).toException();
    }
}

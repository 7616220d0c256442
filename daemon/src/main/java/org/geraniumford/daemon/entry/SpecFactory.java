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
 * Turns callers' requests into what the router decides on.
 *
 * @param failureDomain the entry's failure domain
 * @param blockTokens the engines' piece size in tokens
 */
record SpecFactory(String failureDomain, int blockTokens) {
    private static final int FRAME_BYTES_PER_BLOCK = 32;
    private static final int FRAME_OVERHEAD_BYTES = 4 * 1024;

    // -- queries

    /**
     * Checks a request against the configuration and computes its keys.
     *
     * @param arrival whose request it is
     * @param request its body
     * @param salt a number that differs between requests
     * @return the request for the state machine
     * @throws RefusalException if the model or the priority class is unknown or not the customer's
     */
    RequestSpec create(AuthenticatedRequest arrival, CallerRequest request, long salt) {
        Configuration configuration = arrival.configuration();
        Model model = configuration
                .model(request.model())
                .orElseThrow(() -> refusal(Reason.UNKNOWN_MODEL, "no model has the name given in model"));
        if (!arrival.customer().canUseModel(model.name())) {
            throw refusal(Reason.FORBIDDEN, "the customer may not use model " + model.name());
        }
        CacheScope scope = new CacheScope(arrival.customer().name(), model.weightsDigest(), model.adapter());
        PrefixChain chain = PrefixChain.of(scope, request.levels(), blockTokens);
        if (frameBytes(chain) > FrameCodec.MAX_FRAME_BYTES) {
            throw refusal(Reason.BODY_TOO_LARGE, "the prompt does not fit into one message to a sidecar");
        }
        return new RequestSpec(
                arrival.requestId(),
                model.version(),
                scope,
                priorityClass(configuration, request.priorityClass()),
                arrival.customer().weight(),
                chain,
                request.prompt(),
                Math.min(request.maxTokens().orElse(model.maxTokens()), model.maxTokens()),
                arrival.acceptedNanos(),
                failureDomain,
                salt);
    }

    /** Estimates the size of a submit from above. */
    private static long frameBytes(PrefixChain chain) {
        long prompt = (long) (chain.tokens() + chain.size()) * PrefixChain.BYTES_PER_TOKEN;
        return prompt + (long) chain.size() * FRAME_BYTES_PER_BLOCK + FRAME_OVERHEAD_BYTES;
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

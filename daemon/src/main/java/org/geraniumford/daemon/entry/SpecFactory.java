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
 * @param pieceTokens the engines' piece size in tokens
 */
record SpecFactory(String failureDomain, int pieceTokens) {
    private static final int PIECE_FRAME_BYTES = 32;
    private static final int OTHER_FRAME_BYTES = 4 * 1024;

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
    RequestSpec spec(Arrival arrival, CallerRequest request, long salt) {
        Configuration configuration = arrival.configuration();
        Model model = configuration
                .model(request.model())
                .orElseThrow(() -> refused(Reason.UNKNOWN_MODEL, "no model has the name given in model"));
        if (!arrival.customer().mayUseModel(model.name())) {
            throw refused(Reason.FORBIDDEN, "the customer may not use model " + model.name());
        }
        CacheScope scope = new CacheScope(arrival.customer().name(), model.weightsDigest(), model.adapter());
        PrefixChain chain = PrefixChain.of(scope, request.levels(), pieceTokens);
        if (frameBytes(chain) > FrameCodec.MAX_FRAME_BYTES) {
            throw refused(Reason.BODY_TOO_LARGE, "the prompt does not fit into one message to a sidecar");
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
        return prompt + (long) chain.size() * PIECE_FRAME_BYTES + OTHER_FRAME_BYTES;
    }

    private static PriorityClass priorityClass(Configuration configuration, Optional<String> name) {
        return configuration
                .priorityClass(name)
                .orElseThrow(() -> refused(Reason.MALFORMED_REQUEST, "priority_class is not the name of a class"));
    }

    private static RefusalException refused(Reason reason, String detail) {
        return Refusal.notRun(reason, detail).toException();
    }
}

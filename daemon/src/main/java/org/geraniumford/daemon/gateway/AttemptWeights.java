package org.geraniumford.daemon.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.transport.log.LogEvent;

/**
 * The weights with which an engine is assumed to run one attempt, and whether the request may still begin on them. A
 * request begins with its first output token, which may be long after the choice of the engine: it waits for a
 * connection and for its prefill, is queued, or preempted.
 */
final class AttemptWeights {
    private final Gateway gateway;
    private final String requestId;
    private final Optional<String> model;
    private OptionalInt version;

    private AttemptWeights(Gateway gateway, String requestId, Optional<String> model, OptionalInt version) {
        this.gateway = gateway;
        this.requestId = requestId;
        this.model = model;
        this.version = version;
    }

    // -- construction

    /**
     * Returns the weights that a dispatch assumes.
     *
     * @param gateway the gateway whose state is used
     * @param admitted the request
     * @param dispatch what is sent to the engine
     */
    static AttemptWeights of(Gateway gateway, AdmittedRequest admitted, Dispatch dispatch) {
        return new AttemptWeights(
                gateway,
                admitted.request().id(),
                admitted.request().prompt().map(PromptSpec::model),
                dispatch.engine().map(EngineDispatch::weightsVersion).orElse(OptionalInt.empty()));
    }

    // -- queries

    /** Returns whether the request may be sent; it is assumed to begin some time later. */
    boolean maySend() {
        return model.map(name -> version.orElse(0) >= gateway.oldestAllowedWeights(name))
                .orElse(true);
    }

    /** Returns whether the request may begin now. */
    boolean mayBegin() {
        return model.map(name -> version.orElse(0) >= gateway.oldestWeightsToBeginOn(name))
                .orElse(true);
    }

    // -- events

    /** Applies the version that the engine's response names. */
    void applyResponse(int responseVersion) {
        version = OptionalInt.of(responseVersion);
    }

    /** Records that the engine has sent the first output, and on how old weights if they are not the newest. */
    void recordBegin(String server, long sentNanos) {
        model.ifPresent(name -> recordBegin(name, server, System.nanoTime() - sentNanos));
    }

    private void recordBegin(String name, String server, long waitedNanos) {
        int known = version.orElse(0);
        int newest = gateway.state().publishedWeights(name);
        if (known >= newest) {
            return;
        }
        Duration timeLeft = gateway.weightsTimeLeft(name, known);
        Duration sinceReplaced = gateway.maxWeightsStaleness().minus(timeLeft);
        gateway.metrics().recordOldWeightsAge(sinceReplaced);
        LogEvent.of("began_on_old_weights")
                .with("request", requestId)
                .with("server", server)
                .with("weights", known)
                .with("newest", newest)
                .with("replaced_ms", sinceReplaced.toMillis())
                .with("waited_ms", Duration.ofNanos(waitedNanos).toMillis())
                .with("left_ms", timeLeft.toMillis())
                .info();
    }
}

package org.geraniumford.daemon.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.transport.log.LogEvent;

/**
 * The weights with which an engine is assumed to run one attempt, and whether the request may still begin on them. A
 * request begins with its first output token, which may be long after the choice of the engine: it waits for a
 * connection and for its prefill, is queued, or preempted.
 */
final class AttemptWeights {
    /** How long before an engine stops early the request is withdrawn: longer than it takes until the next look. */
    private static final Duration STOP_LEAD = Duration.ofMillis(150);

    /**
     * A request that cannot go on elsewhere is given a time limit only if its weights have less time left than this.
     * Sent earlier, it has begun or its caller has left when the time is over, and a run that has begun is not cut off.
     */
    private static final Duration SHORT_TIME = Duration.ofMillis(3500);

    private final Gateway gateway;
    private final String requestId;
    private final Optional<String> model;
    private final boolean resumable;
    private OptionalInt version;
    /** When the engine stops work on the request because of its weights, from {@link System#nanoTime}. */
    private OptionalLong stopNanos = OptionalLong.empty();

    private AttemptWeights(
            Gateway gateway, String requestId, Optional<String> model, boolean resumable, OptionalInt version) {
        this.gateway = gateway;
        this.requestId = requestId;
        this.model = model;
        this.resumable = resumable;
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
                admitted.route().resumable(),
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

    /**
     * Returns why the request must be withdrawn from the engine; empty if it need not be.
     *
     * @param waiting whether the engine has sent no output yet
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    Optional<String> withdrawal(boolean waiting, long nowNanos) {
        if (waiting && !mayBegin()) {
            return Optional.of("not begun before the weights became too old");
        }
        boolean stopsSoon = stopNanos.isPresent() && stopNanos.getAsLong() - nowNanos < STOP_LEAD.toNanos();
        return stopsSoon ? Optional.of("not complete before the weights became too old") : Optional.empty();
    }

    /** Returns for how long an engine whose weights were replaced may work on the request; empty if it has no limit. */
    private Optional<Duration> timeOnOldWeights() {
        return model.filter(name -> version.orElse(0) < gateway.state().publishedWeights(name))
                .map(name -> gateway.weightsWorkTime(name, version.orElse(0)))
                .filter(time -> resumable || time.compareTo(SHORT_TIME) < 0)
                // In the first second of an entry it is not known how much time is left.
                .filter(time -> !time.isNegative() && !time.isZero());
    }

    // -- events

    /**
     * Records that the request is sent, and returns for how long the engine may work on it. The engine stops then by
     * itself, so that it cannot begin the request too late when the withdrawal does not reach it or has no effect.
     *
     * @param timeLeft how much longer the caller waits
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the time that replaced weights have left if it is shorter
     */
    Duration recordSend(Duration timeLeft, long nowNanos) {
        Optional<Duration> limit = timeOnOldWeights().filter(time -> time.compareTo(timeLeft) < 0);
        stopNanos =
                limit.map(time -> OptionalLong.of(nowNanos + time.toNanos())).orElse(OptionalLong.empty());
        return limit.orElse(timeLeft);
    }

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

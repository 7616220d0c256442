package org.geraniumford.core.request;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumford.core.stream.StreamAssembler;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;

/**
 * The state of a model request.
 *
 * @param spec the request
 * @param phase the current phase
 * @param assembler the current attempt and the number of tokens delivered
 * @param avoidedHosts the names of the hosts at which earlier attempts failed
 * @param verdict the combined verdict of all ended attempts
 * @param blockedSinceNanos since when the caller accepts no bytes, in nanoseconds of a monotonic clock; empty while it
 *     accepts them
 */
public record RequestState(
        RequestSpec spec,
        Phase phase,
        StreamAssembler assembler,
        Set<String> avoidedHosts,
        Verdict verdict,
        OptionalLong blockedSinceNanos) {
    /** Checks that no component is null and copies the set. */
    public RequestState {
        requireNonNull(spec, "spec is null");
        requireNonNull(phase, "phase is null");
        requireNonNull(assembler, "assembler is null");
        requireNonNull(verdict, "verdict is null");
        requireNonNull(blockedSinceNanos, "blockedSinceNanos is null");
        avoidedHosts = Set.copyOf(avoidedHosts);
    }

    // -- construction

    static RequestState start(RequestSpec spec) {
        return new RequestState(
                spec,
                new Phase.Scheduled(spec.acceptedNanos()),
                StreamAssembler.start(new AttemptId(spec.requestId(), 1)),
                Set.of(),
                Verdict.NOT_RUN,
                OptionalLong.empty());
    }

    // -- queries

    /**
     * Returns whether the request has ended.
     *
     * @return true once the phase is {@link Phase.Done}
     */
    public boolean isDone() {
        return phase instanceof Phase.Done;
    }

    /**
     * Returns the number of the current attempt.
     *
     * @return the number, from 1
     */
    public int attemptNumber() {
        return assembler.attemptId().number();
    }

    /**
     * Returns whether the current attempt runs on a host.
     *
     * @param host the host's name
     * @return true while the current attempt is submitted to that host
     */
    public boolean isRunningOn(String host) {
        return phase instanceof Phase.Running running && running.host().equals(host);
    }

    // -- transitions

    RequestState withPhase(Phase newPhase) {
        return new RequestState(spec, newPhase, assembler, avoidedHosts, verdict, blockedSinceNanos);
    }

    RequestState withAssembler(StreamAssembler newAssembler) {
        return new RequestState(spec, phase, newAssembler, avoidedHosts, verdict, blockedSinceNanos);
    }

    RequestState withBlockedSince(OptionalLong sinceNanos) {
        return new RequestState(spec, phase, assembler, avoidedHosts, verdict, sinceNanos);
    }

    /** Adds the verdict of an ended attempt; the combined verdict is the one declared last in {@link Verdict}. */
    RequestState withAttemptVerdict(Verdict attemptVerdict) {
        Verdict combinedVerdict = attemptVerdict.compareTo(verdict) > 0 ? attemptVerdict : verdict;
        return new RequestState(spec, phase, assembler, avoidedHosts, combinedVerdict, blockedSinceNanos);
    }

    RequestState withAvoidedHost(String host) {
        Set<String> extendedHosts = new HashSet<>(avoidedHosts);
        extendedHosts.add(host);
        return new RequestState(spec, phase, assembler, extendedHosts, verdict, blockedSinceNanos);
    }
}

package org.geraniumford.core.request;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumford.core.stream.StreamAssembler;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;

/**
 * Where a model request is in its life.
 *
 * @param spec the request
 * @param phase what it waits for
 * @param assembler the current attempt, and how far the answer was delivered
 * @param avoidedHosts hosts that failed an attempt
 * @param verdict what the attempts that ended say together
 * @param blockedSinceNanos since when the caller takes no more; empty while it does
 */
public record RequestState(
        RequestSpec spec,
        Phase phase,
        StreamAssembler assembler,
        Set<String> avoidedHosts,
        Verdict verdict,
        OptionalLong blockedSinceNanos) {
    /** Checks the components and copies the set. */
    public RequestState {
        requireNonNull(spec, "spec is null");
        requireNonNull(phase, "phase is null");
        requireNonNull(assembler, "assembler is null");
        requireNonNull(verdict, "verdict is null");
        requireNonNull(blockedSinceNanos, "blockedNanos is null");
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
     * Says whether the request has ended.
     *
     * @return true once nothing follows
     */
    public boolean isDone() {
        return phase instanceof Phase.Done;
    }

    /**
     * Returns the number of the current attempt.
     *
     * @return 1 or more
     */
    public int attemptNumber() {
        return assembler.attemptId().number();
    }

    /**
     * Says whether an attempt runs on a host.
     *
     * @param host the host
     * @return true while that host has the current attempt
     */
    public boolean isRunningOn(String host) {
        return phase instanceof Phase.Running running && running.host().equals(host);
    }

    // -- transitions

    RequestState withPhase(Phase next) {
        return new RequestState(spec, next, assembler, avoidedHosts, verdict, blockedSinceNanos);
    }

    RequestState withAssembler(StreamAssembler next) {
        return new RequestState(spec, phase, next, avoidedHosts, verdict, blockedSinceNanos);
    }

    RequestState withBlockedSince(OptionalLong since) {
        return new RequestState(spec, phase, assembler, avoidedHosts, verdict, since);
    }

    RequestState withAttemptVerdict(Verdict attemptVerdict) {
        Verdict worst = attemptVerdict.compareTo(verdict) > 0 ? attemptVerdict : verdict;
        return new RequestState(spec, phase, assembler, avoidedHosts, worst, blockedSinceNanos);
    }

    RequestState withAvoidedHost(String host) {
        Set<String> more = new HashSet<>(avoidedHosts);
        more.add(host);
        return new RequestState(spec, phase, assembler, more, verdict, blockedSinceNanos);
    }
}

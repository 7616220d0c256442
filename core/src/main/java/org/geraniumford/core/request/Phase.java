package org.geraniumford.core.request;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumford.core.routing.Candidate;
import org.geraniumford.core.wire.Message;

/** The phase of a model request. Times are in nanoseconds of a monotonic clock. */
public sealed interface Phase {
    /**
     * Candidates were probed for the prompt blocks that they cache.
     *
     * @param candidates the hosts that may serve the attempt
     * @param probedHosts the hosts that were probed
     * @param responses the probe responses received, by host
     * @param deadlineNanos when to continue without the outstanding responses
     */
    record Probing(
            List<Candidate> candidates,
            Set<String> probedHosts,
            Map<String, Message.ProbeResponse> responses,
            long deadlineNanos)
            implements Phase {
        /** Copies the collections. */
        public Probing {
            candidates = List.copyOf(candidates);
            probedHosts = Set.copyOf(probedHosts);
            responses = Map.copyOf(responses);
        }
    }

    /**
     * The next attempt is scheduled.
     *
     * @param startNanos when the attempt is due to start
     */
    record Scheduled(long startNanos) implements Phase {}

    /**
     * An attempt was submitted to a host.
     *
     * @param host the host of the attempt
     * @param started whether the host reported that the engine started the attempt with the right weights
     * @param grantedTokens the number of output tokens, from the start of the response, that the host may send
     * @param lastReceivedNanos when a message from the host last arrived; before the first, when the attempt was
     *     submitted
     * @param pingSentNanos when a ping was sent to the host; empty if no pong is outstanding
     * @param lastProgressNanos when the attempt was submitted, was started, delivered tokens or got credit, whichever
     *     was last
     */
    record Running(
            String host,
            boolean started,
            int grantedTokens,
            long lastReceivedNanos,
            OptionalLong pingSentNanos,
            long lastProgressNanos)
            implements Phase {
        /** Checks that no component is null. */
        public Running {
            requireNonNull(host, "host is null");
            requireNonNull(pingSentNanos, "pingSentNanos is null");
        }

        static Running start(String host, int grantedTokens, long nowNanos) {
            return new Running(host, false, grantedTokens, nowNanos, OptionalLong.empty(), nowNanos);
        }

        /** Records the arrival of a message, which also counts as the response to an outstanding ping. */
        Running withReceived(long nowNanos) {
            return new Running(host, started, grantedTokens, nowNanos, OptionalLong.empty(), lastProgressNanos);
        }

        Running withProgress(long nowNanos) {
            return new Running(host, true, grantedTokens, nowNanos, OptionalLong.empty(), nowNanos);
        }

        Running withPingSent(long nowNanos) {
            return new Running(
                    host, started, grantedTokens, lastReceivedNanos, OptionalLong.of(nowNanos), lastProgressNanos);
        }

        Running withGranted(int upToOffset, long nowNanos) {
            return new Running(host, started, upToOffset, lastReceivedNanos, pingSentNanos, nowNanos);
        }
    }

    /** The request has ended; no event changes it. */
    record Done() implements Phase {}
}

package org.geraniumford.core.request;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumford.core.routing.Candidate;
import org.geraniumford.core.wire.Message;

/** What a model request waits for. */
public sealed interface Phase {
    /**
     * The candidates were asked what they hold.
     *
     * @param candidates the hosts that may take the attempt
     * @param probedHosts the hosts that were asked
     * @param responses the answers that came, by host
     * @param deadlineNanos when to go on without the others
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
     * The next attempt waits for its time.
     *
     * @param startNanos when to try again
     */
    record Scheduled(long startNanos) implements Phase {}

    /**
     * An attempt was sent.
     *
     * @param host the host that has it
     * @param started whether the engine took it
     * @param granted the number of answer tokens that may be sent in all
     * @param lastReceivedNanos when the host last said anything
     * @param pingSentNanos when the host was asked whether it lives; empty if no answer is awaited
     * @param lastProgressNanos when the attempt last got further
     */
    record Running(
            String host,
            boolean started,
            int granted,
            long lastReceivedNanos,
            OptionalLong pingSentNanos,
            long lastProgressNanos)
            implements Phase {
        /** Checks the components. */
        public Running {
            requireNonNull(host, "host is null");
            requireNonNull(pingSentNanos, "pingedNanos is null");
        }

        static Running start(String host, int granted, long nowNanos) {
            return new Running(host, false, granted, nowNanos, OptionalLong.empty(), nowNanos);
        }

        Running withReceived(long nowNanos) {
            return new Running(host, started, granted, nowNanos, OptionalLong.empty(), lastProgressNanos);
        }

        Running withProgress(long nowNanos) {
            return new Running(host, true, granted, nowNanos, OptionalLong.empty(), nowNanos);
        }

        Running withPingSent(long nowNanos) {
            return new Running(host, started, granted, lastReceivedNanos, OptionalLong.of(nowNanos), lastProgressNanos);
        }

        Running granted(int upToOffset, long nowNanos) {
            return new Running(host, started, upToOffset, lastReceivedNanos, pingSentNanos, nowNanos);
        }
    }

    /** The request has ended; nothing follows. */
    record Done() implements Phase {}
}

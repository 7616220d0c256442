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
     * @param asked the hosts that were asked
     * @param answers the answers that came, by host
     * @param dueNanos when to go on without the others
     */
    record Probing(
            List<Candidate> candidates, Set<String> asked, Map<String, Message.ProbeAnswer> answers, long dueNanos)
            implements Phase {
        /** Copies the collections. */
        public Probing {
            candidates = List.copyOf(candidates);
            asked = Set.copyOf(asked);
            answers = Map.copyOf(answers);
        }
    }

    /**
     * The next attempt waits for its time.
     *
     * @param dueNanos when to try again
     */
    record Waiting(long dueNanos) implements Phase {}

    /**
     * An attempt was sent.
     *
     * @param host the host that has it
     * @param started whether the engine took it
     * @param granted the number of answer tokens that may be sent in all
     * @param heardNanos when the host last said anything
     * @param pingedNanos when the host was asked whether it lives; empty if no answer is awaited
     * @param progressNanos when the attempt last got further
     */
    record Running(
            String host, boolean started, int granted, long heardNanos, OptionalLong pingedNanos, long progressNanos)
            implements Phase {
        /** Checks the components. */
        public Running {
            requireNonNull(host, "host is null");
            requireNonNull(pingedNanos, "pingedNanos is null");
        }

        static Running start(String host, int granted, long nowNanos) {
            return new Running(host, false, granted, nowNanos, OptionalLong.empty(), nowNanos);
        }

        Running heard(long nowNanos) {
            return new Running(host, started, granted, nowNanos, OptionalLong.empty(), progressNanos);
        }

        Running progressed(long nowNanos) {
            return new Running(host, true, granted, nowNanos, OptionalLong.empty(), nowNanos);
        }

        Running pinged(long nowNanos) {
            return new Running(host, started, granted, heardNanos, OptionalLong.of(nowNanos), progressNanos);
        }

        Running granted(int upToOffset, long nowNanos) {
            return new Running(host, started, upToOffset, heardNanos, pingedNanos, nowNanos);
        }
    }

    /** The request has ended; nothing follows. */
    record Done() implements Phase {}
}

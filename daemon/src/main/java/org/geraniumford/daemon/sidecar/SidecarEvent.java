package org.geraniumford.daemon.sidecar;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheSnapshot;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.engine.EngineAnswer;

/** What the sidecar's duty handles. */
sealed interface SidecarEvent {
    void handle(SidecarDuty duty);

    /** A link is open. */
    record PeerOpened(Peer peer) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.peerOpened(peer);
        }
    }

    /** A link has ended. */
    record PeerClosed(Peer peer) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.peerClosed(peer);
        }
    }

    /** A message came. */
    record Received(Peer peer, Message message) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.received(peer, message);
        }
    }

    /** The engine sent a part of an answer. */
    record Answered(ModelAttempt attempt, List<EngineAnswer> answers) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.models().answered(attempt, answers);
        }
    }

    /** An answer cannot be completed. */
    record AttemptFailed(ModelAttempt attempt, Refusal refusal) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.models().failed(attempt, refusal);
        }
    }

    /** The plain service answered a call, or the call failed. */
    record CallAnswered(Peer peer, Message answer) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.calls().answered(peer, answer);
        }
    }

    /** The backend server's state is known. */
    record BackendSeen(BackendState state) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.backendSeen(state);
        }
    }

    /** The engine's cache changed. */
    record CacheChanged(CacheEvent event) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.models().cacheChanged(event);
        }
    }

    /** The stream of cache events has ended. */
    record FollowEnded() implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.followEnded();
        }
    }

    /** The whole cache; empty if it could not be read. */
    record CacheRead(Optional<CacheSnapshot> snapshot) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.cacheRead(snapshot);
        }
    }

    /** An order needs the engine without requests, or needs it no longer. */
    record Quiesced(boolean closed) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.quiesce(closed);
        }
    }

    /** The platform's host list changed. */
    record Listed(boolean leaving) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.listed(leaving);
        }
    }

    /** The process is to leave. */
    record Leave(CompletableFuture<Void> finished) implements SidecarEvent {
        @Override
        public void handle(SidecarDuty duty) {
            duty.leave(finished);
        }
    }
}

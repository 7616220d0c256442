package org.geraniumford.daemon.sidecar;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheSnapshot;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.engine.CompletionEvent;

/** What the sidecar's duty handles. */
sealed interface SidecarEvent {
    void handle(SidecarEventHandler duty);

    /** A link is open. */
    record PeerOpened(Peer peer) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.addPeer(peer);
        }
    }

    /** A link has ended. */
    record PeerClosed(Peer peer) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.removePeer(peer);
        }
    }

    /** A message came. */
    record MessageReceived(Peer peer, Message message) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.handleMessage(peer, message);
        }
    }

    /** The engine sent a part of an answer. */
    record CompletionEventsReceived(ModelAttempt attempt, List<CompletionEvent> events) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.models().handleEvents(attempt, events);
        }
    }

    /** An answer cannot be completed. */
    record AttemptFailed(ModelAttempt attempt, Refusal refusal) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.models().handleFailure(attempt, refusal);
        }
    }

    /** The plain service answered a call, or the call failed. */
    record CallCompleted(Peer peer, Message response) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.calls().complete(peer, response);
        }
    }

    /** The backend server's state is known. */
    record BackendObserved(BackendState state) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.updateBackend(state);
        }
    }

    /** The engine's cache changed. */
    record CacheChanged(CacheEvent event) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.models().applyCacheEvent(event);
        }
    }

    /** The stream of cache events has ended. */
    record CacheStreamEnded() implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.cacheStreamEnded();
        }
    }

    /** The whole cache; empty if it could not be read. */
    record CacheReadFinished(Optional<CacheSnapshot> snapshot) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.applyCacheSnapshot(snapshot);
        }
    }

    /** An order needs the engine without requests, or needs it no longer. */
    record QuiescedChanged(boolean quiesced) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.setQuiesced(quiesced);
        }
    }

    /** The platform's host list changed. */
    record HostListChanged(boolean leaving) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.setListedLeaving(leaving);
        }
    }

    /** The process is to leave. */
    record Leave(CompletableFuture<Void> finished) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler duty) {
            duty.leave(finished);
        }
    }
}

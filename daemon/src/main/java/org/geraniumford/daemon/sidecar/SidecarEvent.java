package org.geraniumford.daemon.sidecar;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.cache.CacheEvent;
import org.geraniumford.core.cache.CacheSnapshot;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.engine.CompletionEvent;

/** An event that the sidecar's worker thread handles. */
sealed interface SidecarEvent {
    /** Calls the handler's method for this event. */
    void handle(SidecarEventHandler handler);

    /** A link was opened. */
    record PeerOpened(Peer peer) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.addPeer(peer);
        }
    }

    /** A link has closed. */
    record PeerClosed(Peer peer) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.removePeer(peer);
        }
    }

    /** A message arrived on a link. */
    record MessageReceived(Peer peer, Message message) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.handleMessage(peer, message);
        }
    }

    /** The engine sent events of a response. */
    record CompletionEventsReceived(ModelAttempt attempt, List<CompletionEvent> events) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.models().handleEvents(attempt, events);
        }
    }

    /** The response to an attempt cannot be completed. */
    record AttemptFailed(ModelAttempt attempt, Refusal refusal) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.models().handleFailure(attempt, refusal);
        }
    }

    /** The plain service responded to a call, or the call failed; the response is then a {@link Message.Refused}. */
    record CallCompleted(Peer peer, Message response) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.calls().complete(peer, response);
        }
    }

    /** The backend server's state was observed. */
    record BackendObserved(BackendState state) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.updateBackend(state);
        }
    }

    /** The engine's cache changed. */
    record CacheChanged(CacheEvent event) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.models().applyCacheEvent(event);
        }
    }

    /** The stream of cache events has ended. */
    record CacheStreamEnded() implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.cacheStreamEnded();
        }
    }

    /** A read of the whole cache has finished; the snapshot is empty if the read failed. */
    record CacheReadFinished(Optional<CacheSnapshot> snapshot) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.applyCacheSnapshot(snapshot);
        }
    }

    /** The sidecar must stop sending requests to the engine because an order is due, or may send requests again. */
    record QuiescedChanged(boolean quiesced) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.setQuiesced(quiesced);
        }
    }

    /** The platform's host list changed; {@code leaving} is whether it lists this host as leaving. */
    record HostListChanged(boolean leaving) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.setListedLeaving(leaving);
        }
    }

    /** The process is to leave; the future completes once all work has finished and its responses are sent. */
    record Leave(CompletableFuture<Void> finished) implements SidecarEvent {
        @Override
        public void handle(SidecarEventHandler handler) {
            handler.leave(finished);
        }
    }
}

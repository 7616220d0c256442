package org.geraniumford.daemon.entry;

import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Optional;
import org.geraniumford.core.routing.ConnectedEngine;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.operator.HostStatus;
import org.geraniumford.transport.link.Link;

/**
 * A process that an entry is connected to, and the state that it last sent. Immutable.
 *
 * @param address the process's link address
 * @param link the link to the process
 * @param incarnation the process's start, in microseconds since the epoch
 * @param hello the first message of the process
 * @param state the last state that the process sent; empty until the first one arrives, and always if the process is
 *     not a sidecar
 * @param suspect whether the process did not respond to a ping and has sent nothing since
 */
record Peer(
        InetSocketAddress address,
        Link link,
        long incarnation,
        Message.Hello hello,
        Optional<Message.SidecarState> state,
        boolean suspect) {
    // -- construction

    static Peer of(InetSocketAddress address, Link link, long incarnation, Message.Hello hello) {
        return new Peer(address, link, incarnation, hello, Optional.empty(), false);
    }

    // -- queries

    /** Returns the name of the peer's host, which is the process's identifier. */
    String host() {
        return hello.processId();
    }

    /** Returns whether the peer is a sidecar of the plain service. */
    boolean serves(String service) {
        return state.filter(sidecarState -> sidecarState.service().equals(service))
                .isPresent();
    }

    /** Returns the estimated time in the backend server's queue, in microseconds; 0 until a state arrives. */
    long estimatedWaitMicros() {
        return state.map(Message.SidecarState::estimatedWaitMicros).orElse(0L);
    }

    /**
     * Returns the model engine behind the peer. A suspect engine has incarnation 0, so that it gets no new work.
     *
     * @param listedAsLeaving whether the platform lists the host as leaving
     * @return the engine; empty if the process is not a model engine's sidecar, and until its first state arrives
     */
    Optional<ConnectedEngine> connectedEngine(boolean listedAsLeaving) {
        return state.filter(sidecarState -> sidecarState.service().isEmpty())
                .map(sidecarState -> new ConnectedEngine(
                        host(),
                        hello.failureDomain(),
                        sidecarState.modelVersion(),
                        sidecarState.weightsDigest(),
                        suspect ? 0 : sidecarState.backendIncarnation(),
                        sidecarState.leaving() || listedAsLeaving,
                        sidecarState.estimatedWaitMicros()));
    }

    /** Returns the peer's state as operators see it. Its configuration version is not known here and therefore 0. */
    HostStatus status() {
        return new HostStatus(
                host(),
                hello.role().name().toLowerCase(Locale.ROOT),
                address.getHostString() + ':' + address.getPort(),
                hello.failureDomain(),
                link.isOpen(),
                state.map(Message.SidecarState::leaving).orElse(false),
                incarnation,
                state.map(Message.SidecarState::backendIncarnation).orElse(0L),
                0,
                estimatedWaitMicros());
    }

    // -- transitions

    /** Returns the peer with the state that it sent last. */
    Peer withState(Message.SidecarState newState) {
        return new Peer(address, link, incarnation, hello, Optional.of(newState), suspect);
    }

    /** Returns the peer with another value of {@code suspect}. */
    Peer withSuspect(boolean newSuspect) {
        return new Peer(address, link, incarnation, hello, state, newSuspect);
    }
}

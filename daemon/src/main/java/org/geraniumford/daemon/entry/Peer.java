package org.geraniumford.daemon.entry;

import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Optional;
import org.geraniumford.core.routing.Backend;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.operator.HostStatus;
import org.geraniumford.transport.link.Link;

/**
 * What an entry knows of one process that it is connected to. Immutable.
 *
 * @param address the process's link address
 * @param link the open connection
 * @param incarnation the process's start, in microseconds since the epoch
 * @param hello its first message
 * @param state its sidecar state; empty for other processes and until it is known
 * @param suspect whether it left a ping without an answer and has said nothing since
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

    String host() {
        return hello.processId();
    }

    boolean serves(String service) {
        return state.filter(known -> known.service().equals(service)).isPresent();
    }

    long estimatedWaitMicros() {
        return state.map(Message.SidecarState::estimatedWaitMicros).orElse(0L);
    }

    /** Describes the model engine behind the peer; empty for other processes. */
    Optional<Backend> backend(boolean listedAsLeaving) {
        return state.filter(known -> known.service().isEmpty())
                .map(known -> new Backend(
                        host(),
                        hello.failureDomain(),
                        known.modelVersion(),
                        known.weightsDigest(),
                        suspect ? 0 : known.backendIncarnation(),
                        known.leaving() || listedAsLeaving,
                        known.estimatedWaitMicros()));
    }

    /** Describes the peer to operators. */
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

    Peer withState(Message.SidecarState next) {
        return new Peer(address, link, incarnation, hello, Optional.of(next), suspect);
    }

    Peer suspect(boolean next) {
        return new Peer(address, link, incarnation, hello, state, next);
    }
}

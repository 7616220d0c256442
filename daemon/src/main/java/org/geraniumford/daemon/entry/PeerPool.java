package org.geraniumford.daemon.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.worker.Worker;
import org.geraniumford.transport.worker.WorkerHandler;

/** Maintains a link to each address of a changing set. One worker decides when to connect. */
final class PeerPool implements AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final int RING_EVENTS = 4096;
    private static final long MIN_RECONNECT_DELAY_NANOS = Duration.ofMillis(50).toNanos();
    private static final long MAX_RECONNECT_DELAY_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long SUSPECT_PING_INTERVAL_NANOS =
            Duration.ofMillis(500).toNanos();

    private final LinkNetwork network;
    private final Supplier<Targets> targets;
    private final PeerTable table;
    private final PeerListener listener;
    private final Worker<ConnectionEvent> worker;

    /**
     * The addresses to connect to.
     *
     * @param addresses the link addresses of the sidecars in the platform's host list, and of the seeds, which are the
     *     peers that the entry requests the configuration from at the start
     * @param leaving the addresses of the hosts that the platform lists as leaving
     */
    record Targets(Set<InetSocketAddress> addresses, Set<InetSocketAddress> leaving) {
        Targets {
            addresses = Set.copyOf(addresses);
            leaving = Set.copyOf(leaving);
        }
    }

    /** The result of a connection attempt, or the end of a link, for which {@code connected} is false. */
    private record ConnectionEvent(InetSocketAddress address, boolean connected) {}

    private PeerPool(LinkNetwork network, Supplier<Targets> targets, PeerTable table, PeerListener listener) {
        this.network = network;
        this.targets = targets;
        this.table = table;
        this.listener = listener;
        this.worker = Worker.start("links", RING_EVENTS, TICK, new Reconnector());
    }

    // -- construction

    static PeerPool start(LinkNetwork network, Supplier<Targets> targets, PeerTable table, PeerListener listener) {
        return new PeerPool(network, targets, table, listener);
    }

    // -- commands

    /** Stops connecting and closes every link. */
    @Override
    public void close() {
        worker.close();
        table.all().forEach(peer -> peer.link().close());
    }

    /** Schedules the next connection attempt to an address whose link has ended. */
    void disconnected(InetSocketAddress address) {
        worker.offer(new ConnectionEvent(address, false));
    }

    /** Connects to the target addresses and reconnects with exponential backoff and jitter. */
    private final class Reconnector implements WorkerHandler<ConnectionEvent> {
        private final Map<InetSocketAddress, ConnectionState> connections = new HashMap<>();
        private long lastSuspectPingNanos = System.nanoTime();

        @Override
        public void handle(ConnectionEvent event) {
            connections.computeIfPresent(
                    event.address(), (address, state) -> event.connected() ? state.connected() : state.failed());
        }

        @Override
        public void tick() {
            Targets current = targets.get();
            table.replaceLeaving(current.leaving());
            // The link to an address that is no longer a target stays open until it ends, but is not opened again.
            connections.keySet().removeIf(address -> !current.addresses().contains(address));
            Set<InetSocketAddress> added = new HashSet<>(current.addresses());
            added.removeAll(connections.keySet());
            added.forEach(address -> connections.put(address, ConnectionState.initial()));
            connections.replaceAll((address, state) -> state.isDue() ? connect(address, state) : state);
            pingSuspects();
        }

        private ConnectionState connect(InetSocketAddress address, ConnectionState state) {
            PeerLinkHandler handler = new PeerLinkHandler(address, table, listener, PeerPool.this);
            network.connect(address, handler)
                    .whenComplete((done, failure) -> worker.offer(new ConnectionEvent(address, failure == null)));
            return state.connecting();
        }

        private void pingSuspects() {
            long nowNanos = System.nanoTime();
            if (nowNanos - lastSuspectPingNanos >= SUSPECT_PING_INTERVAL_NANOS) {
                lastSuspectPingNanos = nowNanos;
                table.all().stream()
                        .filter(Peer::suspect)
                        .forEach(peer -> peer.link().send(new Message.Ping(0)));
            }
        }
    }

    /**
     * The connection state of one address.
     *
     * @param active whether the link to the address is open or being opened
     * @param reconnectDelayNanos the longest delay after the next failure, in nanoseconds; the shortest is half of it
     * @param nextConnectNanos the time of the next connection attempt, as of {@link System#nanoTime}
     */
    private record ConnectionState(boolean active, long reconnectDelayNanos, long nextConnectNanos) {
        static ConnectionState initial() {
            return new ConnectionState(false, MIN_RECONNECT_DELAY_NANOS, System.nanoTime());
        }

        boolean isDue() {
            return !active && System.nanoTime() - nextConnectNanos >= 0;
        }

        ConnectionState connecting() {
            return new ConnectionState(true, reconnectDelayNanos, nextConnectNanos);
        }

        ConnectionState connected() {
            return new ConnectionState(true, MIN_RECONNECT_DELAY_NANOS, nextConnectNanos);
        }

        ConnectionState failed() {
            long delayNanos = ThreadLocalRandom.current().nextLong(reconnectDelayNanos / 2, reconnectDelayNanos + 1);
            long nextReconnectDelayNanos = Math.min(MAX_RECONNECT_DELAY_NANOS, reconnectDelayNanos * 2);
            LogEvent.of("link_wait")
                    .with("millis", Duration.ofNanos(delayNanos).toMillis())
                    .debug();
            return new ConnectionState(false, nextReconnectDelayNanos, System.nanoTime() + delayNanos);
        }
    }
}

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

/** Keeps a connection to each address of a changing set. One duty owns the dialling. */
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
     * Where to connect.
     *
     * @param addresses the addresses of the sidecars and seeds
     * @param leaving those that the platform lists as leaving
     */
    record Targets(Set<InetSocketAddress> addresses, Set<InetSocketAddress> leaving) {
        Targets {
            addresses = Set.copyOf(addresses);
            leaving = Set.copyOf(leaving);
        }
    }

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

    /** Ends the dialling and every connection. */
    @Override
    public void close() {
        worker.close();
        table.all().forEach(peer -> peer.link().close());
    }

    void disconnected(InetSocketAddress address) {
        worker.offer(new ConnectionEvent(address, false));
    }

    /** Decides when to dial which address. */
    private final class Reconnector implements WorkerHandler<ConnectionEvent> {
        private final Map<InetSocketAddress, ConnectionState> connections = new HashMap<>();
        private long lastSuspectPingNanos = System.nanoTime();

        @Override
        public void handle(ConnectionEvent event) {
            connections.computeIfPresent(
                    event.address(), (address, dial) -> event.connected() ? dial.connected() : dial.failed());
        }

        @Override
        public void tick() {
            Targets present = targets.get();
            table.replaceLeaving(present.leaving());
            connections.keySet().removeIf(address -> !present.addresses().contains(address));
            Set<InetSocketAddress> fresh = new HashSet<>(present.addresses());
            fresh.removeAll(connections.keySet());
            fresh.forEach(address -> connections.put(address, ConnectionState.initial()));
            connections.replaceAll((address, dial) -> dial.isDue() ? connect(address, dial) : dial);
            pingSuspects();
        }

        private ConnectionState connect(InetSocketAddress address, ConnectionState dial) {
            PeerLinkHandler handler = new PeerLinkHandler(address, table, listener, PeerPool.this);
            network.connect(address, handler)
                    .whenComplete((done, failure) -> worker.offer(new ConnectionEvent(address, failure == null)));
            return dial.connecting();
        }

        private void pingSuspects() {
            long now = System.nanoTime();
            if (now - lastSuspectPingNanos >= SUSPECT_PING_INTERVAL_NANOS) {
                lastSuspectPingNanos = now;
                table.all().stream()
                        .filter(Peer::suspect)
                        .forEach(peer -> peer.link().send(new Message.Ping(0)));
            }
        }
    }

    /**
     * The dialling of one address.
     *
     * @param active whether it is connected, or a connection is being opened
     * @param retryDelayNanos the wait after the next failure
     * @param nextConnectNanos when to dial again
     */
    private record ConnectionState(boolean active, long retryDelayNanos, long nextConnectNanos) {
        static ConnectionState initial() {
            return new ConnectionState(false, MIN_RECONNECT_DELAY_NANOS, System.nanoTime());
        }

        boolean isDue() {
            return !active && System.nanoTime() - nextConnectNanos >= 0;
        }

        ConnectionState connecting() {
            return new ConnectionState(true, retryDelayNanos, nextConnectNanos);
        }

        ConnectionState connected() {
            return new ConnectionState(true, MIN_RECONNECT_DELAY_NANOS, nextConnectNanos);
        }

        ConnectionState failed() {
            long jittered = ThreadLocalRandom.current().nextLong(retryDelayNanos / 2, retryDelayNanos + 1);
            long longer = Math.min(MAX_RECONNECT_DELAY_NANOS, retryDelayNanos * 2);
            LogEvent.of("link_wait")
                    .with("millis", Duration.ofNanos(jittered).toMillis())
                    .debug();
            return new ConnectionState(false, longer, System.nanoTime() + jittered);
        }
    }
}

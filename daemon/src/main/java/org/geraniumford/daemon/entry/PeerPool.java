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
import org.geraniumford.transport.duty.Duty;
import org.geraniumford.transport.duty.DutyHandler;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.log.LogEvent;

/** Keeps a connection to each address of a changing set. One duty owns the dialling. */
final class PeerPool implements AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final int RING = 4096;
    private static final long MIN_REDIAL_NANOS = Duration.ofMillis(50).toNanos();
    private static final long MAX_REDIAL_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long SUSPECT_PING_NANOS = Duration.ofMillis(500).toNanos();

    private final LinkNetwork network;
    private final Supplier<Targets> targets;
    private final PeerTable table;
    private final PeerListener listener;
    private final Duty<Event> duty;

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

    private record Event(InetSocketAddress address, boolean connected) {}

    private PeerPool(LinkNetwork network, Supplier<Targets> targets, PeerTable table, PeerListener listener) {
        this.network = network;
        this.targets = targets;
        this.table = table;
        this.listener = listener;
        this.duty = Duty.start("links", RING, TICK, new Dialler());
    }

    // -- construction

    static PeerPool start(LinkNetwork network, Supplier<Targets> targets, PeerTable table, PeerListener listener) {
        return new PeerPool(network, targets, table, listener);
    }

    // -- commands

    /** Ends the dialling and every connection. */
    @Override
    public void close() {
        duty.close();
        table.all().forEach(peer -> peer.link().close());
    }

    void disconnected(InetSocketAddress address) {
        duty.offer(new Event(address, false));
    }

    /** Decides when to dial which address. */
    private final class Dialler implements DutyHandler<Event> {
        private final Map<InetSocketAddress, Dial> dials = new HashMap<>();
        private long suspectsPingedNanos = System.nanoTime();

        @Override
        public void handle(Event event) {
            dials.computeIfPresent(
                    event.address(), (address, dial) -> event.connected() ? dial.connected() : dial.failed());
        }

        @Override
        public void tick() {
            Targets present = targets.get();
            table.leaving(present.leaving());
            dials.keySet().removeIf(address -> !present.addresses().contains(address));
            Set<InetSocketAddress> fresh = new HashSet<>(present.addresses());
            fresh.removeAll(dials.keySet());
            fresh.forEach(address -> dials.put(address, Dial.fresh()));
            dials.replaceAll((address, dial) -> dial.due() ? dial(address, dial) : dial);
            pingSuspects();
        }

        private Dial dial(InetSocketAddress address, Dial dial) {
            PeerHandler handler = new PeerHandler(address, table, listener, PeerPool.this);
            network.connect(address, handler)
                    .whenComplete((done, failure) -> duty.offer(new Event(address, failure == null)));
            return dial.started();
        }

        private void pingSuspects() {
            long now = System.nanoTime();
            if (now - suspectsPingedNanos >= SUSPECT_PING_NANOS) {
                suspectsPingedNanos = now;
                table.all().stream()
                        .filter(Peer::suspect)
                        .forEach(peer -> peer.link().send(new Message.Ping(0)));
            }
        }
    }

    /**
     * The dialling of one address.
     *
     * @param open whether it is connected, or a connection is being opened
     * @param waitNanos the wait after the next failure
     * @param dueNanos when to dial again
     */
    private record Dial(boolean open, long waitNanos, long dueNanos) {
        static Dial fresh() {
            return new Dial(false, MIN_REDIAL_NANOS, System.nanoTime());
        }

        boolean due() {
            return !open && System.nanoTime() - dueNanos >= 0;
        }

        Dial started() {
            return new Dial(true, waitNanos, dueNanos);
        }

        Dial connected() {
            return new Dial(true, MIN_REDIAL_NANOS, dueNanos);
        }

        Dial failed() {
            long jittered = ThreadLocalRandom.current().nextLong(waitNanos / 2, waitNanos + 1);
            long longer = Math.min(MAX_REDIAL_NANOS, waitNanos * 2);
            LogEvent.of("link_wait")
                    .with("millis", Duration.ofNanos(jittered).toMillis())
                    .debug();
            return new Dial(false, longer, System.nanoTime() + jittered);
        }
    }
}

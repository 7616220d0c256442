package org.geraniumford.daemon.configuration;

import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.geraniumford.core.configuration.Configuration;
import org.geraniumford.core.configuration.ConfigurationHead;
import org.geraniumford.core.configuration.ConfigurationHolder;
import org.geraniumford.core.configuration.ConfigurationParser;
import org.geraniumford.core.configuration.IniDelta;
import org.geraniumford.core.configuration.ParsedConfiguration;
import org.geraniumford.core.configuration.Propagation;
import org.geraniumford.core.configuration.Sha256;
import org.geraniumford.core.store.Store;
import org.geraniumford.core.store.TableRow;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.worker.Worker;
import org.geraniumford.transport.worker.WorkerHandler;

/**
 * Keeps a process's configuration up to date: requests it from seed peers at the start, polls the head row, and fetches
 * from any peer whose messages carry a newer version. A peer is the process at the other end of any link, whatever its
 * role. Thread-safe.
 */
public final class ConfigurationSync implements AutoCloseable {
    private static final int RING_EVENTS = 1024;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(25);
    private static final int SEED_SAMPLE_SIZE = 3;

    private final ConfigurationHolder holder;
    private final Store store;
    private final SeedLinks seedLinks = SeedLinks.of(this::handleMessage);
    private final PeerLinks peerLinks;
    private volatile boolean fetching;
    private volatile Worker<SyncEvent> worker;
    private Propagation propagation;

    /** The last delta that was loaded, for peers that are one version behind. Its id is always 0. */
    private Optional<Message.ConfigurationDelta> lastDelta = Optional.empty();

    private ConfigurationSync(ConfigurationHolder holder, Store store, Propagation propagation, long randomSeed) {
        this.holder = holder;
        this.store = store;
        this.peerLinks = PeerLinks.of(randomSeed);
        this.propagation = propagation;
    }

    // -- construction

    /**
     * Starts to keep the configuration of a holder up to date.
     *
     * @param holder receives each newer configuration
     * @param store the platform's store
     * @param network opens the links to the seeds
     * @param seeds the link addresses of peers; a few random ones are contacted once, before the store
     * @param randomSeed the seed of the jitter and of the random choice of peers, different in each process
     * @return the running synchronization
     */
    public static ConfigurationSync start(
            ConfigurationHolder holder,
            Store store,
            LinkNetwork network,
            List<InetSocketAddress> seeds,
            long randomSeed) {
        requireNonNull(holder, "holder is null");
        requireNonNull(store, "store is null");
        requireNonNull(network, "network is null");
        Propagation propagation = Propagation.start(!seeds.isEmpty(), randomSeed, nowMicros());
        ConfigurationSync sync = new ConfigurationSync(holder, store, propagation, randomSeed);
        sync.worker = Worker.start("configuration", RING_EVENTS, TICK_INTERVAL, sync.new Handler());
        sample(seeds, randomSeed).forEach(address -> sync.seedLinks.connect(network, address));
        return sync;
    }

    private static List<InetSocketAddress> sample(List<InetSocketAddress> seeds, long randomSeed) {
        List<InetSocketAddress> shuffled = new ArrayList<>(seeds);
        Collections.shuffle(shuffled, new Random(randomSeed));
        return shuffled.subList(0, Math.min(SEED_SAMPLE_SIZE, shuffled.size()));
    }

    // -- commands

    /**
     * Handles a message that arrived on any link of this process. Never blocks.
     *
     * @param link the link on which the message arrived
     * @param envelope the message with the configuration version of its sender
     * @return true if it is a configuration message, which needs no other handling
     */
    public boolean handleMessage(Link link, Envelope envelope) {
        Message message = envelope.message();
        if (message instanceof Message.ConfigurationRequest request) {
            worker.offer(new SyncEvent.RequestReceived(link, request));
            return true;
        } else if (message instanceof Message.ConfigurationResponse response) {
            worker.offer(
                    new SyncEvent.TextReceived(response.version(), response.digest(), Optional.of(response.text())));
            return true;
        } else if (message instanceof Message.ConfigurationDelta delta) {
            worker.offer(new SyncEvent.DeltaReceived(delta.version(), delta.digest(), Optional.of(delta.delta())));
            return true;
        }
        peerLinks.add(link);
        if (envelope.configurationVersion() > holder.version() && !fetching) {
            worker.offer(new SyncEvent.PeerVersionReceived(link, envelope.configurationVersion()));
        }
        return false;
    }

    /** Stops the synchronization. The holder keeps its configuration. */
    @Override
    public void close() {
        seedLinks.close();
        worker.close();
    }

    // -- worker

    private sealed interface SyncEvent {
        record RequestReceived(Link link, Message.ConfigurationRequest request) implements SyncEvent {}

        record PeerVersionReceived(Link link, long version) implements SyncEvent {}

        record HeadRead(Optional<TableRow> row) implements SyncEvent {}

        /** The text is empty if the store does not contain it. */
        record TextReceived(long version, String digest, Optional<String> text) implements SyncEvent {}

        /**
         * The digest is that of the whole text after the delta; the delta is empty if the store does not contain it.
         */
        record DeltaReceived(long version, String digest, Optional<String> delta) implements SyncEvent {}

        record StoreFailed(Throwable failure) implements SyncEvent {}
    }

    private final class Handler implements WorkerHandler<SyncEvent> {
        @Override
        public void handle(SyncEvent event) {
            if (event instanceof SyncEvent.RequestReceived received) {
                respond(received.link(), received.request());
            } else if (event instanceof SyncEvent.PeerVersionReceived received) {
                apply(new Propagation.Event.PeerVersionReceived(received.version()), Optional.of(received.link()));
            } else if (event instanceof SyncEvent.TextReceived received) {
                load(received.version(), received.digest(), received.text().orElse(""));
            } else if (event instanceof SyncEvent.DeltaReceived received) {
                loadDelta(
                        received.version(), received.digest(), received.delta().orElse(""));
            } else if (event instanceof SyncEvent.HeadRead read) {
                apply(toHeadEvent(read.row()), Optional.empty());
            } else if (event instanceof SyncEvent.StoreFailed failed) {
                handleStoreFailure(failed.failure());
            }
        }

        @Override
        public void tick() {
            apply(new Propagation.Event.Tick(), Optional.empty());
        }
    }

    private void apply(Propagation.Event event, Optional<Link> peer) {
        Propagation.Step step = propagation.apply(event, nowMicros());
        propagation = step.next();
        fetching = propagation.isFetching();
        step.actions().forEach(action -> perform(action, peer));
    }

    private void perform(Propagation.Action action, Optional<Link> peer) {
        // The ids of configuration requests are arbitrary, because responses are handled whatever their id is.
        if (action instanceof Propagation.Action.FetchFromPeer fetch) {
            peer.ifPresent(link -> link.send(new Message.ConfigurationRequest(fetch.newerThan(), fetch.newerThan())));
        } else if (action instanceof Propagation.Action.FetchFromPeers fetch) {
            peerLinks.sendToRandomPeers(new Message.ConfigurationRequest(0, fetch.newerThan()));
        } else if (action instanceof Propagation.Action.ReadHead) {
            store.row(ConfigurationHead.TABLE, ConfigurationHead.ROW)
                    .whenComplete((row, failure) -> offerResult(failure, () -> new SyncEvent.HeadRead(row)));
        } else if (action instanceof Propagation.Action.ReadText read) {
            ConfigurationHead head = read.head();
            store.object(head.digest())
                    .whenComplete((text, failure) -> offerResult(
                            failure, () -> new SyncEvent.TextReceived(head.version(), head.digest(), text)));
        } else if (action instanceof Propagation.Action.ReadDelta read) {
            ConfigurationHead head = read.head();
            store.object(head.deltaDigest())
                    .whenComplete((text, failure) -> offerResult(
                            failure, () -> new SyncEvent.DeltaReceived(head.version(), head.digest(), text)));
        } else if (action instanceof Propagation.Action.Announce) {
            // The envelope of any message carries the version in force.
            peerLinks.sendToRandomPeers(new Message.Ping(0));
        }
    }

    private void offerResult(Throwable failure, Supplier<SyncEvent> result) {
        worker.offer(failure == null ? result.get() : new SyncEvent.StoreFailed(failure));
    }

    // -- events

    private static Propagation.Event toHeadEvent(Optional<TableRow> row) {
        Optional<ConfigurationHead> head = row.map(TableRow::value).flatMap(ConfigurationHead::decode);
        if (row.isPresent() && head.isEmpty()) {
            LogEvent.of("configuration_head_unreadable").warn();
        }
        return new Propagation.Event.HeadRead(head);
    }

    private void handleStoreFailure(Throwable failure) {
        LogEvent.of("configuration_store_unavailable")
                .with("reason", RefusalException.reasonLabelOf(failure))
                .warn();
        apply(new Propagation.Event.StoreFailed(), Optional.empty());
    }

    private void loadDelta(long version, String digest, String delta) {
        Configuration current = holder.current();
        Optional<String> text = IniDelta.decode(delta)
                .filter(decoded -> current.version() + 1 == version)
                .map(decoded -> decoded.applyTo(current.text()));
        load(version, digest, text.orElse(""));
        if (holder.version() == version) {
            lastDelta = Optional.of(new Message.ConfigurationDelta(0, version, digest, delta));
        }
    }

    /**
     * Loads a received configuration if its text matches the digest. Version 0 means that the peer has no newer one. A
     * missing text is passed as an empty one, so that the digest does not match and the fetch fails.
     */
    private void load(long version, String digest, String text) {
        if (version == 0) {
            apply(new Propagation.Event.NoNewerVersion(), Optional.empty());
            return;
        }
        Optional<Configuration> configuration = parseVerified(version, digest, text);
        configuration.filter(holder::updateIfNewer).ifPresent(this::handleLoaded);
        apply(
                configuration
                        .<Propagation.Event>map(loaded -> new Propagation.Event.Loaded(loaded.version()))
                        .orElseGet(Propagation.Event.FetchFailed::new),
                Optional.empty());
    }

    private static Optional<Configuration> parseVerified(long version, String digest, String text) {
        if (Sha256.hex(text).equals(digest)
                && ConfigurationParser.parse(version, text) instanceof ParsedConfiguration.Accepted accepted) {
            return Optional.of(accepted.configuration());
        }
        LogEvent.of("configuration_unreadable").with("version", version).warn();
        return Optional.empty();
    }

    private void handleLoaded(Configuration configuration) {
        seedLinks.close();
        LogEvent.of("configuration_loaded")
                .with("version", configuration.version())
                .with("digest", configuration.digest())
                .info();
    }

    private void respond(Link link, Message.ConfigurationRequest request) {
        Configuration current = holder.current();
        Optional<Message.ConfigurationDelta> delta = lastDelta.filter(
                last -> last.version() == current.version() && last.version() == request.newerThan() + 1);
        if (delta.isPresent()) {
            link.send(delta.orElseThrow());
        } else if (current.version() > request.newerThan()) {
            link.send(new Message.ConfigurationResponse(
                    request.id(), current.version(), current.digest(), current.text()));
        } else {
            link.send(new Message.ConfigurationResponse(request.id(), 0, "", ""));
        }
    }

    /** Returns the time of a monotonic clock, which is not the time since the epoch. */
    private static long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }
}

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
import org.geraniumford.core.configuration.Sha256;
import org.geraniumford.core.configuration.Spread;
import org.geraniumford.core.store.Store;
import org.geraniumford.core.store.TableRow;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.duty.Duty;
import org.geraniumford.transport.duty.DutyHandler;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.log.LogEvent;

/**
 * Keeps a process's configuration the latest: asks seed peers at the start, polls the head row, and fetches from any
 * peer that carries a later version. Thread-safe.
 */
public final class ConfigurationSync implements AutoCloseable {
    private static final int RING = 1024;
    private static final Duration TICK = Duration.ofMillis(25);
    private static final int SEEDS_ASKED = 3;

    private final ConfigurationHolder holder;
    private final Store store;
    private final SeedLinks seedLinks = SeedLinks.of(this::received);
    private final PeerLinks peers;
    private volatile boolean fetching;
    private volatile Duty<Input> duty;
    private Spread spread;
    private Optional<Message.ConfigurationDelta> lastDelta = Optional.empty();

    private ConfigurationSync(ConfigurationHolder holder, Store store, Spread spread, long seed) {
        this.holder = holder;
        this.store = store;
        this.peers = PeerLinks.of(seed);
        this.spread = spread;
    }

    // -- construction

    /**
     * Starts keeping a holder up to date.
     *
     * @param holder receives each later configuration
     * @param store the platform's store
     * @param network opens links to the seeds
     * @param seeds link addresses of peers; a few of them are asked once, before the store
     * @param seed makes this process's jitter differ from that of others
     * @return the running sync
     */
    public static ConfigurationSync start(
            ConfigurationHolder holder, Store store, LinkNetwork network, List<InetSocketAddress> seeds, long seed) {
        requireNonNull(holder, "holder is null");
        requireNonNull(store, "store is null");
        requireNonNull(network, "network is null");
        Spread first = Spread.start(!seeds.isEmpty(), seed, nowMicros());
        ConfigurationSync sync = new ConfigurationSync(holder, store, first, seed);
        sync.duty = Duty.start("configuration", RING, TICK, sync.new Handler());
        sample(seeds, seed).forEach(address -> sync.seedLinks.open(network, address));
        return sync;
    }

    private static List<InetSocketAddress> sample(List<InetSocketAddress> seeds, long seed) {
        List<InetSocketAddress> shuffled = new ArrayList<>(seeds);
        Collections.shuffle(shuffled, new Random(seed));
        return shuffled.subList(0, Math.min(SEEDS_ASKED, shuffled.size()));
    }

    // -- commands

    /**
     * Looks at a message that arrived on any link of this process. Never blocks.
     *
     * @param link where it arrived
     * @param envelope the message
     * @return true if it is a configuration message, which needs no other handling
     */
    public boolean received(Link link, Envelope envelope) {
        Message message = envelope.message();
        if (message instanceof Message.ConfigurationRequest request) {
            duty.offer(new Input.Asked(link, request));
            return true;
        } else if (message instanceof Message.ConfigurationAnswer answer) {
            duty.offer(new Input.Arrived(answer.version(), answer.digest(), Optional.of(answer.text())));
            return true;
        } else if (message instanceof Message.ConfigurationDelta delta) {
            duty.offer(new Input.DeltaArrived(delta.version(), delta.digest(), Optional.of(delta.delta())));
            return true;
        }
        peers.seen(link);
        if (envelope.configurationVersion() > holder.version() && !fetching) {
            duty.offer(new Input.Seen(link, envelope.configurationVersion()));
        }
        return false;
    }

    /** Stops; the holder keeps its configuration. */
    @Override
    public void close() {
        seedLinks.close();
        duty.close();
    }

    // -- the duty

    private sealed interface Input {
        record Asked(Link link, Message.ConfigurationRequest request) implements Input {}

        record Seen(Link link, long version) implements Input {}

        record Read(Optional<TableRow> row) implements Input {}

        record Arrived(long version, String digest, Optional<String> text) implements Input {}

        record DeltaArrived(long version, String digest, Optional<String> delta) implements Input {}

        record Failed(Throwable failure) implements Input {}
    }

    private final class Handler implements DutyHandler<Input> {
        @Override
        public void handle(Input input) {
            if (input instanceof Input.Asked asked) {
                answer(asked.link(), asked.request());
            } else if (input instanceof Input.Seen seen) {
                apply(new Spread.Event.PeerSeen(seen.version()), Optional.of(seen.link()));
            } else if (input instanceof Input.Arrived arrived) {
                load(arrived.version(), arrived.digest(), arrived.text().orElse(""));
            } else if (input instanceof Input.DeltaArrived arrived) {
                loadDelta(arrived.version(), arrived.digest(), arrived.delta().orElse(""));
            } else if (input instanceof Input.Read read) {
                apply(headRead(read.row()), Optional.empty());
            } else if (input instanceof Input.Failed failed) {
                storeFailed(failed.failure());
            }
        }

        @Override
        public void tick() {
            apply(new Spread.Event.Tick(), Optional.empty());
        }
    }

    private void apply(Spread.Event event, Optional<Link> peer) {
        Spread.Step step = spread.apply(event, nowMicros());
        spread = step.next();
        fetching = spread.fetching();
        step.actions().forEach(action -> perform(action, peer));
    }

    private void perform(Spread.Action action, Optional<Link> peer) {
        if (action instanceof Spread.Action.AskPeer ask) {
            peer.ifPresent(link -> link.send(new Message.ConfigurationRequest(ask.newerThan(), ask.newerThan())));
        } else if (action instanceof Spread.Action.AskPeers ask) {
            peers.tell(new Message.ConfigurationRequest(0, ask.newerThan()));
        } else if (action instanceof Spread.Action.ReadHead) {
            store.row(ConfigurationHead.TABLE, ConfigurationHead.ROW)
                    .whenComplete((row, failure) -> offer(failure, () -> new Input.Read(row)));
        } else if (action instanceof Spread.Action.ReadText read) {
            ConfigurationHead head = read.head();
            store.object(head.digest())
                    .whenComplete((text, failure) ->
                            offer(failure, () -> new Input.Arrived(head.version(), head.digest(), text)));
        } else if (action instanceof Spread.Action.ReadDelta read) {
            ConfigurationHead head = read.head();
            store.object(head.deltaDigest())
                    .whenComplete((text, failure) ->
                            offer(failure, () -> new Input.DeltaArrived(head.version(), head.digest(), text)));
        } else if (action instanceof Spread.Action.Announce) {
            peers.tell(new Message.Ping(0));
        }
    }

    private void offer(Throwable failure, Supplier<Input> input) {
        duty.offer(failure == null ? input.get() : new Input.Failed(failure));
    }

    // -- events

    private static Spread.Event headRead(Optional<TableRow> row) {
        Optional<ConfigurationHead> head = row.map(TableRow::value).flatMap(ConfigurationHead::decode);
        if (row.isPresent() && head.isEmpty()) {
            LogEvent.of("configuration_head_unreadable").warn();
        }
        return new Spread.Event.HeadRead(head);
    }

    private void storeFailed(Throwable failure) {
        LogEvent.of("configuration_store_unavailable")
                .with(
                        "reason",
                        RefusalException.refusalOf(failure, Verdict.NOT_RUN)
                                .reason()
                                .label())
                .warn();
        apply(new Spread.Event.StoreFailed(), Optional.empty());
    }

    private void loadDelta(long version, String digest, String delta) {
        Configuration held = holder.current();
        Optional<String> text = IniDelta.decode(delta)
                .filter(found -> held.version() + 1 == version)
                .map(found -> found.applyTo(held.text()));
        load(version, digest, text.orElse(""));
        if (holder.version() == version) {
            lastDelta = Optional.of(new Message.ConfigurationDelta(0, version, digest, delta));
        }
    }

    private void load(long version, String digest, String text) {
        if (version == 0) {
            apply(new Spread.Event.NothingLater(), Optional.empty());
            return;
        }
        Optional<Configuration> configuration = configuration(version, digest, text);
        configuration.filter(holder::offer).ifPresent(this::loaded);
        apply(
                configuration
                        .<Spread.Event>map(found -> new Spread.Event.Loaded(found.version()))
                        .orElseGet(Spread.Event.FetchFailed::new),
                Optional.empty());
    }

    private static Optional<Configuration> configuration(long version, String digest, String text) {
        if (Sha256.hex(text).equals(digest)
                && ConfigurationParser.parse(version, text) instanceof ParsedConfiguration.Accepted accepted) {
            return Optional.of(accepted.configuration());
        }
        LogEvent.of("configuration_unreadable").with("version", version).warn();
        return Optional.empty();
    }

    private void loaded(Configuration configuration) {
        seedLinks.close();
        LogEvent.of("configuration_loaded")
                .with("version", configuration.version())
                .with("digest", configuration.digest())
                .info();
    }

    private void answer(Link link, Message.ConfigurationRequest request) {
        Configuration held = holder.current();
        Optional<Message.ConfigurationDelta> delta =
                lastDelta.filter(last -> last.version() == held.version() && last.version() == request.newerThan() + 1);
        if (delta.isPresent()) {
            link.send(delta.orElseThrow());
        } else if (held.version() > request.newerThan()) {
            link.send(new Message.ConfigurationAnswer(request.id(), held.version(), held.digest(), held.text()));
        } else {
            link.send(new Message.ConfigurationAnswer(request.id(), 0, "", ""));
        }
    }

    private static long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }
}

package org.geraniumford.daemon.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostListPolling;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.platform.PlatformClient;
import org.geraniumford.transport.worker.Worker;
import org.geraniumford.transport.worker.WorkerHandler;

/**
 * Polls the platform's host list at jittered intervals and keeps the last list that was read. Until the platform has
 * responded once, the list of a peer is used instead. Queries are thread-safe.
 */
public final class HostDirectory implements AutoCloseable {
    private static final int RING_EVENTS = 64;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final long READ_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

    private final Supplier<CompletableFuture<List<Host>>> source;
    private final SplittableRandom random;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Void> loaded = new CompletableFuture<>();
    private volatile List<Host> hosts = List.of();
    private volatile Worker<HostListUpdate> worker;
    private long nextReadNanos;
    private boolean failing;

    private HostDirectory(Supplier<CompletableFuture<List<Host>>> source, long seed) {
        this.source = source;
        this.random = new SplittableRandom(seed);
        this.nextReadNanos = System.nanoTime();
    }

    // -- construction

    /**
     * Starts to poll the platform's list.
     *
     * @param platform the client of the platform
     * @param seed the seed of the jitter, different in each process
     * @return a directory that is empty until the first list arrives
     */
    public static HostDirectory start(PlatformClient platform, long seed) {
        requireNonNull(platform, "platform is null");
        return start(platform::hosts, seed);
    }

    /**
     * Starts to poll a list.
     *
     * @param source reads the list once for each call; its futures complete exceptionally if the list cannot be read
     * @param seed the seed of the jitter, different in each process
     * @return a directory that is empty until the first list arrives
     */
    public static HostDirectory start(Supplier<CompletableFuture<List<Host>>> source, long seed) {
        HostDirectory directory = new HostDirectory(requireNonNull(source, "source is null"), seed);
        directory.worker = Worker.start("membership", RING_EVENTS, TICK_INTERVAL, directory.new Handler());
        return directory;
    }

    // -- queries

    /**
     * Returns the last list that was read.
     *
     * @return the hosts in the platform's order; empty before the first list
     */
    public List<Host> hosts() {
        return hosts;
    }

    /**
     * Returns a future for the platform's first list; a peer's list does not count.
     *
     * @return a future that completes once the first list is in {@link #hosts}
     */
    public CompletableFuture<Void> loaded() {
        return loaded.copy();
    }

    // -- commands

    /**
     * Adds a listener for changes of the list.
     *
     * @param listener called on the directory's own thread after {@link #hosts} has changed
     */
    public void onChange(Runnable listener) {
        listeners.add(requireNonNull(listener, "listener is null"));
    }

    /**
     * Handles a message that arrived on any link of this process. Never blocks.
     *
     * @param link the link on which the message arrived
     * @param envelope the message
     * @return true if it is a message about the host list, which needs no other handling
     */
    public boolean handleMessage(Link link, Envelope envelope) {
        Message message = envelope.message();
        if (message instanceof Message.HostListRequest request) {
            link.send(new Message.HostListResponse(request.id(), hosts));
            return true;
        } else if (message instanceof Message.HostListResponse response) {
            worker.offer(new HostListUpdate(Optional.of(response.hosts()), true));
            return true;
        }
        if (message instanceof Message.Hello && !loaded.isDone()) {
            // The response is handled whatever its id is.
            link.send(new Message.HostListRequest(envelope.sequence()));
        }
        return false;
    }

    /** Stops polling. The last list is kept. */
    @Override
    public void close() {
        worker.close();
    }

    // -- worker

    /** A list from the platform or from a peer; empty if the platform did not respond. */
    private record HostListUpdate(Optional<List<Host>> list, boolean fromPeer) {}

    private final class Handler implements WorkerHandler<HostListUpdate> {
        @Override
        public void handle(HostListUpdate update) {
            if (update.fromPeer()) {
                update.list().filter(list -> !loaded.isDone()).ifPresent(HostDirectory.this::applyPeerList);
                return;
            }
            update.list().filter(list -> !list.equals(hosts)).ifPresent(HostDirectory.this::replace);
            update.list().ifPresent(list -> loaded.complete(null));
            scheduleRead();
        }

        @Override
        public void tick() {
            long nowNanos = System.nanoTime();
            if (nowNanos - nextReadNanos >= 0) {
                // Retries after the timeout if this read has not ended by then; otherwise its result schedules the next
                // read.
                nextReadNanos = nowNanos + READ_TIMEOUT_NANOS;
                readList();
            }
        }
    }

    private void readList() {
        source.get().whenComplete((list, failure) -> {
            recordReadResult(failure);
            worker.offer(new HostListUpdate(Optional.ofNullable(list), false));
        });
    }

    private void scheduleRead() {
        long meanNanos = TimeUnit.MICROSECONDS.toNanos(HostListPolling.intervalMicros(hosts.size()));
        nextReadNanos = System.nanoTime() + meanNanos / 2 + random.nextLong(meanNanos);
    }

    /** Applies a peer's list if it is longer than the current one, because a peer that just started lists few hosts. */
    private void applyPeerList(List<Host> list) {
        if (list.size() > hosts.size()) {
            replace(list);
        }
    }

    private void replace(List<Host> list) {
        hosts = List.copyOf(list);
        listeners.forEach(Runnable::run);
    }

    private void recordReadResult(Throwable failure) {
        boolean wasFailing = failing;
        failing = failure != null;
        if (failing && !wasFailing) {
            LogEvent.of("host_list_unavailable")
                    .with("reason", RefusalException.reasonLabelOf(failure))
                    .warn();
        } else if (wasFailing && !failing) {
            LogEvent.of("host_list_available").info();
        }
    }
}

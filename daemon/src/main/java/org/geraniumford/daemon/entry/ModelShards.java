package org.geraniumford.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.worker.Worker;

/** The workers that process model requests. Each request belongs to one of them. Thread-safe. */
final class ModelShards implements PeerListener, AutoCloseable {
    private static final int SHARDS = 2;
    private static final int RING_EVENTS = 16_384;
    private static final Duration TICK = Duration.ofMillis(10);

    private final List<Worker<ShardEvent>> workers;

    private ModelShards(List<Worker<ShardEvent>> workers) {
        this.workers = workers;
    }

    // -- construction

    static ModelShards start(ModelShard.ShardDependencies dependencies, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return new ModelShards(IntStream.range(0, SHARDS)
                .mapToObj(index -> Worker.<ShardEvent>start(
                        "model-" + index,
                        RING_EVENTS,
                        TICK,
                        ModelShard.of(dependencies, index, SHARDS, random.nextLong())))
                .toList());
    }

    // -- commands

    /** Adds a request to the ring buffer of its worker. Returns false if the ring buffer is full. */
    boolean offer(AuthenticatedRequest request) {
        Worker<ShardEvent> worker = workerFor(request.requestId());
        boolean accepted = worker.offer(new ShardEvent.RequestReceived(request));
        if (accepted) {
            String requestId = request.requestId();
            request.exchange().onClosed(() -> worker.offer(new ShardEvent.CallerDisconnected(requestId)));
            request.exchange().onWritable(() -> worker.offer(new ShardEvent.CallerWritable(requestId)));
        }
        return accepted;
    }

    /**
     * Dispatches a message to the worker of its request. If the ring buffer is full, the link is closed, so that the
     * requests on it are resumed at other engines instead of missing frames.
     */
    @Override
    public void received(String host, Link link, Envelope envelope) {
        if (!tryDispatch(host, envelope.message())) {
            link.close();
        }
    }

    @Override
    public void lost(String host, Link link, boolean broken) {
        workers.forEach(worker -> worker.offer(new ShardEvent.HostLost(host, broken)));
    }

    @Override
    public void close() {
        workers.forEach(Worker::close);
    }

    /**
     * Returns false if a ring buffer was full. A pong goes to every worker, because each may have requests at the host.
     * Messages that no request needs are ignored.
     */
    private boolean tryDispatch(String host, Message message) {
        if (message instanceof Message.Chunk chunk) {
            return offerFrame(host, chunk.id(), chunk);
        }
        if (message instanceof Message.Started started) {
            return offerFrame(host, started.id(), started);
        }
        if (message instanceof Message.End end) {
            return offerFrame(host, end.id(), end);
        }
        if (message instanceof Message.Refused refused) {
            return offerFrame(host, refused.id(), refused);
        }
        if (message instanceof Message.ProbeResponse response) {
            return workers.get(PendingProbes.shardOf(response.id(), SHARDS))
                    .offer(new ShardEvent.ProbeResponseReceived(host, response));
        }
        return !(message instanceof Message.Pong)
                || workers.stream().allMatch(worker -> worker.offer(new ShardEvent.PongReceived(host)));
    }

    private boolean offerFrame(String host, AttemptId id, Message message) {
        return workerFor(id.requestId()).offer(new ShardEvent.FrameReceived(host, id.requestId(), message));
    }

    private Worker<ShardEvent> workerFor(String requestId) {
        return workers.get(Math.floorMod(requestId.hashCode(), SHARDS));
    }
}

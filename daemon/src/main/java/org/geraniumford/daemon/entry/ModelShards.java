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

/** The duties that work on model requests; each request belongs to one of them. Thread-safe. */
final class ModelShards implements PeerListener, AutoCloseable {
    private static final int SHARDS = 2;
    private static final int RING_EVENTS = 16_384;
    private static final Duration TICK = Duration.ofMillis(10);

    private final List<Worker<ShardEvent>> workers;

    private ModelShards(List<Worker<ShardEvent>> duties) {
        this.workers = duties;
    }

    // -- construction

    static ModelShards start(ModelShard.ShardDependencies parts, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return new ModelShards(IntStream.range(0, SHARDS)
                .mapToObj(index -> Worker.<ShardEvent>start(
                        "model-" + index, RING_EVENTS, TICK, ModelShard.of(parts, index, SHARDS, random.nextLong())))
                .toList());
    }

    // -- commands

    /** Hands over a request; returns false if the ring is full. */
    boolean offer(AuthenticatedRequest arrival) {
        Worker<ShardEvent> duty = workerFor(arrival.requestId());
        boolean taken = duty.offer(new ShardEvent.RequestReceived(arrival));
        if (taken) {
            String requestId = arrival.requestId();
            arrival.exchange().onClosed(() -> duty.offer(new ShardEvent.CallerDisconnected(requestId)));
            arrival.exchange().onWritable(() -> duty.offer(new ShardEvent.CallerWritable(requestId)));
        }
        return taken;
    }

    /** A ring that takes no more frames ends the connection, so that its requests are resumed elsewhere. */
    @Override
    public void received(String host, Link link, Envelope envelope) {
        if (!tryDispatch(host, envelope.message())) {
            link.close();
        }
    }

    @Override
    public void lost(String host, Link link, boolean broken) {
        workers.forEach(duty -> duty.offer(new ShardEvent.HostLost(host, broken)));
    }

    @Override
    public void close() {
        workers.forEach(Worker::close);
    }

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
        if (message instanceof Message.ProbeResponse answer) {
            return workers.get(PendingProbes.shardOf(answer.id(), SHARDS))
                    .offer(new ShardEvent.ProbeResponseReceived(host, answer));
        }
        return !(message instanceof Message.Pong)
                || workers.stream().allMatch(duty -> duty.offer(new ShardEvent.PongReceived(host)));
    }

    private boolean offerFrame(String host, AttemptId id, Message message) {
        return workerFor(id.requestId()).offer(new ShardEvent.FrameReceived(host, id.requestId(), message));
    }

    private Worker<ShardEvent> workerFor(String requestId) {
        return workers.get(Math.floorMod(requestId.hashCode(), SHARDS));
    }
}

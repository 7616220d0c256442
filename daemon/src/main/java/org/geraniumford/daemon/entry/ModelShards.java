package org.geraniumford.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.duty.Duty;
import org.geraniumford.transport.link.Link;

/** The duties that work on model requests; each request belongs to one of them. Thread-safe. */
final class ModelShards implements PeerListener, AutoCloseable {
    private static final int SHARDS = 2;
    private static final int RING = 16_384;
    private static final Duration TICK = Duration.ofMillis(10);

    private final List<Duty<ShardEvent>> duties;

    private ModelShards(List<Duty<ShardEvent>> duties) {
        this.duties = duties;
    }

    // -- construction

    static ModelShards start(ModelShard.ShardParts parts, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return new ModelShards(IntStream.range(0, SHARDS)
                .mapToObj(index -> Duty.<ShardEvent>start(
                        "model-" + index, RING, TICK, ModelShard.of(parts, index, SHARDS, random.nextLong())))
                .toList());
    }

    // -- commands

    /** Hands over a request; returns false if the ring is full. */
    boolean offer(Arrival arrival) {
        Duty<ShardEvent> duty = dutyOf(arrival.requestId());
        boolean taken = duty.offer(new ShardEvent.Arrived(arrival));
        if (taken) {
            String requestId = arrival.requestId();
            arrival.exchange().onClosed(() -> duty.offer(new ShardEvent.CallerGone(requestId)));
            arrival.exchange().onWritable(() -> duty.offer(new ShardEvent.CallerReady(requestId)));
        }
        return taken;
    }

    /** A ring that takes no more frames ends the connection, so that its requests are resumed elsewhere. */
    @Override
    public void received(String host, Link link, Envelope envelope) {
        if (!handled(host, envelope.message())) {
            link.close();
        }
    }

    @Override
    public void lost(String host, Link link, boolean broken) {
        duties.forEach(duty -> duty.offer(new ShardEvent.HostLost(host, broken)));
    }

    @Override
    public void close() {
        duties.forEach(Duty::close);
    }

    private boolean handled(String host, Message message) {
        if (message instanceof Message.Chunk chunk) {
            return frame(host, chunk.id(), chunk);
        }
        if (message instanceof Message.Started started) {
            return frame(host, started.id(), started);
        }
        if (message instanceof Message.End end) {
            return frame(host, end.id(), end);
        }
        if (message instanceof Message.Refused refused) {
            return frame(host, refused.id(), refused);
        }
        if (message instanceof Message.ProbeAnswer answer) {
            return duties.get(ProbeTable.shardOf(answer.id(), SHARDS))
                    .offer(new ShardEvent.ProbeAnswered(host, answer));
        }
        return !(message instanceof Message.Pong)
                || duties.stream().allMatch(duty -> duty.offer(new ShardEvent.Heard(host)));
    }

    private boolean frame(String host, AttemptId id, Message message) {
        return dutyOf(id.requestId()).offer(new ShardEvent.Frame(host, id.requestId(), message));
    }

    private Duty<ShardEvent> dutyOf(String requestId) {
        return duties.get(Math.floorMod(requestId.hashCode(), SHARDS));
    }
}

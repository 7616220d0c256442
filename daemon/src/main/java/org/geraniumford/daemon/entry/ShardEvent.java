package org.geraniumford.daemon.entry;

import org.geraniumford.core.wire.Message;

/** What a shard of the model duty handles. */
sealed interface ShardEvent {
    /** A request came. */
    record Arrived(Arrival arrival) implements ShardEvent {}

    /** A frame of an attempt came from a host. */
    record Frame(String host, String requestId, Message message) implements ShardEvent {}

    /** A host answered a probe. */
    record ProbeAnswered(String host, Message.ProbeAnswer answer) implements ShardEvent {}

    /** A host answered a ping. */
    record Heard(String host) implements ShardEvent {}

    /** The connection to a host has ended. */
    record HostLost(String host, boolean broken) implements ShardEvent {}

    /** The caller closed its connection. */
    record CallerGone(String requestId) implements ShardEvent {}

    /** The caller takes more again. */
    record CallerReady(String requestId) implements ShardEvent {}
}

package org.geraniumford.daemon.entry;

import org.geraniumford.core.wire.Message;

/** What a shard of the model duty handles. */
sealed interface ShardEvent {
    /** A request came. */
    record RequestReceived(AuthenticatedRequest request) implements ShardEvent {}

    /** A frame of an attempt came from a host. */
    record FrameReceived(String host, String requestId, Message message) implements ShardEvent {}

    /** A host answered a probe. */
    record ProbeResponseReceived(String host, Message.ProbeResponse response) implements ShardEvent {}

    /** A host answered a ping. */
    record PongReceived(String host) implements ShardEvent {}

    /** The connection to a host has ended. */
    record HostLost(String host, boolean broken) implements ShardEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected(String requestId) implements ShardEvent {}

    /** The caller takes more again. */
    record CallerWritable(String requestId) implements ShardEvent {}
}

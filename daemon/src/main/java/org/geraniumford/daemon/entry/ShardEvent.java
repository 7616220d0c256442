package org.geraniumford.daemon.entry;

import org.geraniumford.core.wire.Message;

/** An event that a shard of the model requests handles. */
sealed interface ShardEvent {
    /**
     * A request arrived.
     *
     * @param request the request
     */
    record RequestReceived(AuthenticatedRequest request) implements ShardEvent {}

    /**
     * A frame of an attempt arrived from a host.
     *
     * @param host the host that sent it
     * @param requestId the request's identifier
     * @param message the frame
     */
    record FrameReceived(String host, String requestId, Message message) implements ShardEvent {}

    /**
     * A host responded to a probe.
     *
     * @param host the host
     * @param response the response
     */
    record ProbeResponseReceived(String host, Message.ProbeResponse response) implements ShardEvent {}

    /**
     * A host responded to a ping.
     *
     * @param host the host
     */
    record PongReceived(String host) implements ShardEvent {}

    /**
     * The link to a host has ended.
     *
     * @param host the host
     * @param broken whether the host sent a frame that cannot be decoded
     */
    record HostLost(String host, boolean broken) implements ShardEvent {}

    /**
     * The connection to the caller ended before the response was complete.
     *
     * @param requestId the request's identifier
     */
    record CallerDisconnected(String requestId) implements ShardEvent {}

    /**
     * The connection to the caller is writable again.
     *
     * @param requestId the request's identifier
     */
    record CallerWritable(String requestId) implements ShardEvent {}
}

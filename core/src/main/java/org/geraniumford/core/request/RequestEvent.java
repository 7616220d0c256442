package org.geraniumford.core.request;

import org.geraniumford.core.wire.Message;

/** An event in the life of a model request. */
public sealed interface RequestEvent {
    /**
     * The response to a probe arrived.
     *
     * @param host the name of the sidecar's host
     * @param response the sidecar's response
     */
    record ProbeResponseReceived(String host, Message.ProbeResponse response) implements RequestEvent {}

    /**
     * A frame of an attempt arrived: {@link Message.Started}, {@link Message.Chunk}, {@link Message.End} or
     * {@link Message.Refused}.
     *
     * @param host the name of the host that sent it
     * @param message the frame
     */
    record FrameReceived(String host, Message message) implements RequestEvent {}

    /**
     * The response to a ping arrived.
     *
     * @param host the host's name
     */
    record PongReceived(String host) implements RequestEvent {}

    /**
     * The link to a host was lost.
     *
     * @param host the host's name
     * @param broken whether the link was closed because the host sent a frame that cannot be decoded
     */
    record HostLost(String host, boolean broken) implements RequestEvent {}

    /**
     * A submit message could not be written.
     *
     * @param host the host's name
     */
    record SubmitFailed(String host) implements RequestEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected() implements RequestEvent {}

    /** The caller's connection accepts no more bytes for now. */
    record CallerBlocked() implements RequestEvent {}

    /** The caller's connection accepts bytes again. */
    record CallerWritable() implements RequestEvent {}

    /** The periodic check of deadlines and timeouts. */
    record Tick() implements RequestEvent {}
}

package org.geraniumford.core.request;

import org.geraniumford.core.wire.Message;

/** What happens to a model request. */
public sealed interface RequestEvent {
    /**
     * A sidecar answered a probe.
     *
     * @param host the sidecar's host
     * @param response what it holds
     */
    record ProbeResponseReceived(String host, Message.ProbeResponse response) implements RequestEvent {}

    /**
     * A frame of an attempt arrived: {@link Message.Started}, {@link Message.Chunk}, {@link Message.End} or
     * {@link Message.Refused}.
     *
     * @param host the host that sent it
     * @param message the frame
     */
    record MessageReceived(String host, Message message) implements RequestEvent {}

    /**
     * A host answered a ping.
     *
     * @param host the host
     */
    record PongReceived(String host) implements RequestEvent {}

    /**
     * The link to a host was lost.
     *
     * @param host the host
     * @param broken whether it sent a frame that cannot be decoded
     */
    record HostLost(String host, boolean broken) implements RequestEvent {}

    /**
     * A submit could not be written.
     *
     * @param host the host
     */
    record SubmitFailed(String host) implements RequestEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected() implements RequestEvent {}

    /** The caller takes no more for now. */
    record CallerBlocked() implements RequestEvent {}

    /** The caller takes more again. */
    record CallerReady() implements RequestEvent {}

    /** Time has passed. */
    record Tick() implements RequestEvent {}
}

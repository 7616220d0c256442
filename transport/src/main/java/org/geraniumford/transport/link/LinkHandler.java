package org.geraniumford.transport.link;

import org.geraniumford.core.wire.Envelope;

/** Receives the events of links. Its methods run on a network thread and must not block. */
public interface LinkHandler {
    /**
     * Called when a link is open and this process's own {@code Hello} has been written.
     *
     * @param link the link
     */
    void opened(Link link);

    /**
     * Called for each message, in the order in which the peer sent them.
     *
     * @param link the link
     * @param envelope the message; the first one holds the peer's {@code Hello}
     */
    void received(Link link, Envelope envelope);

    /**
     * Called once when a link has ended.
     *
     * @param link the link
     * @param broken whether the peer sent a frame that cannot be decoded
     */
    void closed(Link link, boolean broken);
}

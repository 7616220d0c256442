package org.geraniumford.transport.link;

import org.geraniumford.core.wire.Envelope;

/** Receives what happens on links. Its methods run on a network thread and must not block. */
public interface LinkHandler {
    /**
     * Called when a connection is open and the own {@code Hello} is written.
     *
     * @param link the connection
     */
    void opened(Link link);

    /**
     * Called for each message, in the order sent.
     *
     * @param link the connection
     * @param envelope the message; the first one holds the peer's {@code Hello}
     */
    void received(Link link, Envelope envelope);

    /**
     * Called once when a connection has ended.
     *
     * @param link the connection
     * @param broken whether the peer sent a frame that cannot be decoded
     */
    void closed(Link link, boolean broken);
}

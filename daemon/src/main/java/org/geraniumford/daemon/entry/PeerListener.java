package org.geraniumford.daemon.entry;

import org.geraniumford.core.wire.Envelope;
import org.geraniumford.transport.link.Link;

/**
 * Receives the messages of the processes that an entry is connected to. Its methods run on network threads and must not
 * block.
 */
interface PeerListener {
    /**
     * Called for each message, including {@code Hello} and {@code SidecarState}, after the peer table is updated.
     *
     * @param host the sender's host
     * @param link the link that the message arrived on
     * @param envelope the message
     */
    void received(String host, Link link, Envelope envelope);

    /**
     * Called when the link to a host has ended.
     *
     * @param host the host
     * @param link the link
     * @param broken whether the host sent a frame that cannot be decoded
     */
    void lost(String host, Link link, boolean broken);
}

package org.geraniumford.daemon.entry;

import org.geraniumford.core.wire.Envelope;
import org.geraniumford.transport.link.Link;

/** Receives what the peers of an entry say. Its methods run on network threads and must not block. */
interface PeerListener {
    /**
     * Called for each message but {@code Hello} and {@code SidecarState}.
     *
     * @param host the sender's host
     * @param link the connection it came on
     * @param envelope the message
     */
    void received(String host, Link link, Envelope envelope);

    /**
     * Called when the connection to a host has ended.
     *
     * @param host the host
     * @param link the connection
     * @param broken whether it sent a frame that cannot be decoded
     */
    void lost(String host, Link link, boolean broken);
}

package org.geraniumford.daemon.peers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumford.core.fleet.ServerLoad;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.EncodedMessage;

/** The messages of one announcement, each encoded once, when the first peer needs it. */
final class GossipMessages {
    /** Creates a message. */
    @FunctionalInterface
    interface Source {
        Message.Gossip gossip(boolean complete, List<ServerLoad> loads, LeaseSnapshot lease);
    }

    private record Variant(boolean complete, boolean withLease) {}

    private final List<ServerLoad> loads;
    private final List<ServerLoad> changes;
    private final Source source;
    private final Map<Variant, EncodedMessage> encoded = new HashMap<>();

    private GossipMessages(List<ServerLoad> loads, List<ServerLoad> changes, Source source) {
        this.loads = loads;
        this.changes = changes;
        this.source = source;
    }

    // -- construction

    /**
     * Creates the messages of an announcement.
     *
     * @param loads all loads of this entry
     * @param changes those that peers do not know yet
     * @param source creates a message
     */
    static GossipMessages of(List<ServerLoad> loads, List<ServerLoad> changes, Source source) {
        return new GossipMessages(loads, changes, source);
    }

    // -- queries

    /**
     * Returns the message for a peer.
     *
     * @param complete whether the peer needs all loads
     * @param lease the lease that the peer needs, the same for all peers of an announcement; empty if it needs none
     */
    EncodedMessage message(boolean complete, LeaseSnapshot lease) {
        Variant variant = new Variant(complete, !lease.equals(LeaseSnapshot.empty()));
        return encoded.computeIfAbsent(
                variant, ignored -> EncodedMessage.of(source.gossip(complete, complete ? loads : changes, lease)));
    }
}

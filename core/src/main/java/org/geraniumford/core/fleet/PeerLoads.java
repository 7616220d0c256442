package org.geraniumford.core.fleet;

import java.util.HashMap;
import java.util.Map;

/** The loads of an entry's peers at one backend server, which may not be listed yet, and their sum. Not thread-safe. */
final class PeerLoads {
    private final Map<String, ServerLoad> byPeer = new HashMap<>();
    private ServerLoad total;
    /** The load that was added to the total last; null if that sum is not valid. */
    private ServerLoad added;

    private ServerLoad totalWithAdded;

    private PeerLoads(String server) {
        this.total = ServerLoad.idle(server);
    }

    // -- construction

    /**
     * Creates the loads at a server at which no peer has anything in progress.
     *
     * @param server the server's name
     */
    static PeerLoads empty(String server) {
        return new PeerLoads(server);
    }

    // -- queries

    /**
     * Returns the sum of all loads and another one. One decision asks for it several times, so the last sum is kept.
     *
     * @param load the other load; compared by reference, because comparing its lists would cost as much as adding them
     */
    @SuppressWarnings("ReferenceEquality")
    ServerLoad totalWith(ServerLoad load) {
        if (load != added) {
            added = load;
            totalWithAdded = total.plus(load);
        }
        return totalWithAdded;
    }

    boolean isEmpty() {
        return byPeer.isEmpty();
    }

    // -- commands

    void update(String peer, ServerLoad load) {
        remove(peer);
        if (load.running() != 0 || load.pendingPrefillTokens() != 0) {
            byPeer.put(peer, load);
            total = total.plus(load);
            added = null;
        }
    }

    void remove(String peer) {
        ServerLoad removed = byPeer.remove(peer);
        if (removed != null) {
            total = total.minus(removed);
            added = null;
        }
    }
}

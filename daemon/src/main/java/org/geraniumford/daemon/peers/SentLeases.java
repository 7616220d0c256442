package org.geraniumford.daemon.peers;

import java.util.HashMap;
import java.util.Map;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.transport.link.Link;

/**
 * The version of the weights lease that was last sent on each link. The lease lists the orders of several seconds; sent
 * with every message to every peer, it would fill the network links of small hosts. Not thread-safe.
 */
final class SentLeases {
    private final Map<Link, Long> versionByLink = new HashMap<>();

    private SentLeases() {}

    // -- construction

    /** Creates an object without links. */
    static SentLeases empty() {
        return new SentLeases();
    }

    // -- commands

    /**
     * Returns whether the lease must be sent on a link, and records that it is sent now.
     *
     * @param link the link
     * @param lease the known lease
     * @return true if the link is new or the lease has changed since the last call for it
     */
    boolean isDue(Link link, LeaseSnapshot lease) {
        Long previous = versionByLink.put(link, lease.version());
        return previous == null || previous != lease.version();
    }

    /**
     * Forgets a link that was closed.
     *
     * @param link the link
     */
    void remove(Link link) {
        versionByLink.remove(link);
    }
}

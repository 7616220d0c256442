package org.geraniumford.daemon.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;

/**
 * The open links on which a peer has sent a message. A newer configuration is announced to a few of these peers, or
 * requested from them.
 */
final class PeerLinks {
    /** The number of peers to which a process sends an announcement or a request at once. */
    static final int FAN_OUT = 3;

    private static final int MAX_LINKS = 1024;

    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final Random random;

    private PeerLinks(long seed) {
        this.random = new Random(seed);
    }

    // -- construction

    static PeerLinks of(long seed) {
        return new PeerLinks(seed);
    }

    // -- commands

    /** Records a link, up to {@value #MAX_LINKS}. Thread-safe. */
    void add(Link link) {
        if (links.size() < MAX_LINKS) {
            links.add(link);
        }
    }

    /** Sends a message to at most {@value #FAN_OUT} random peers. Must be called on one thread only. */
    void sendToRandomPeers(Message message) {
        links.removeIf(link -> !link.isOpen());
        List<Link> shuffled = new ArrayList<>(links);
        Collections.shuffle(shuffled, random);
        shuffled.stream().limit(FAN_OUT).forEach(link -> link.send(message));
    }
}

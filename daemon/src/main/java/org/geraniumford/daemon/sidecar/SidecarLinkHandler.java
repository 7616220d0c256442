package org.geraniumford.daemon.sidecar;

import java.util.function.BiPredicate;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkHandler;

/** Offers the events of links to the sidecar's ring. While the ring is full, refuses new work and may close links. */
final class SidecarLinkHandler implements LinkHandler {
    private final EventRing ring;
    private final BiPredicate<Link, Envelope> controlMessageHandler;
    private final SidecarMetrics metrics;

    private SidecarLinkHandler(
            EventRing ring, BiPredicate<Link, Envelope> controlMessageHandler, SidecarMetrics metrics) {
        this.ring = ring;
        this.controlMessageHandler = controlMessageHandler;
        this.metrics = metrics;
    }

    // -- construction

    /**
     * Creates a handler. The predicate handles the messages about configurations and host lists, and returns whether a
     * message is one of them.
     */
    static SidecarLinkHandler of(
            EventRing ring, BiPredicate<Link, Envelope> controlMessageHandler, SidecarMetrics metrics) {
        return new SidecarLinkHandler(ring, controlMessageHandler, metrics);
    }

    // -- commands

    @Override
    public void opened(Link link) {
        if (!ring.offer(new SidecarEvent.PeerOpened(new Peer.LinkPeer(link)))) {
            metrics.reasonCounters().countRefusal(Reason.RING_FULL);
            link.close();
        }
    }

    @Override
    public void received(Link link, Envelope envelope) {
        if (controlMessageHandler.test(link, envelope)) {
            return;
        }
        Message message = envelope.message();
        if (message instanceof Message.Ping ping) {
            link.send(new Message.Pong(ping.id()));
        } else if (!(message instanceof Message.Hello)
                && !ring.offer(new SidecarEvent.MessageReceived(new Peer.LinkPeer(link), message))) {
            handleOverflow(link, message);
        }
    }

    /** Drops the event if the ring is full, because each tick also removes closed links. */
    @Override
    public void closed(Link link, boolean broken) {
        if (broken) {
            metrics.reasonCounters().countRefusal(Reason.BROKEN_FRAME);
        }
        ring.offer(new SidecarEvent.PeerClosed(new Peer.LinkPeer(link)));
    }

    /** Refuses new work, drops probes and status requests, and closes a link on which a command would be lost. */
    private void handleOverflow(Link link, Message message) {
        metrics.reasonCounters().countRefusal(Reason.RING_FULL);
        if (message instanceof Message.Submit submit) {
            refuse(link, submit.id());
        } else if (message instanceof Message.Call call) {
            refuse(link, call.id());
        } else if (!(message instanceof Message.Probe) && !(message instanceof Message.StatusRequest)) {
            link.close();
        }
    }

    private static void refuse(Link link, AttemptId id) {
        link.send(new Message.Refused(id, Refusal.notRun(Reason.RING_FULL, "the sidecar's ring is full")));
    }
}

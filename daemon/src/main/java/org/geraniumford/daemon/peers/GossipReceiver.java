package org.geraniumford.daemon.peers;

import org.geraniumford.core.quarantine.SegmentQuarantine;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.gateway.GatewayState;
import org.geraniumford.daemon.weights.RolloutController;
import org.geraniumford.transport.worker.Guarded;

/** Applies what peers announce. A part that cannot be applied costs neither the other parts nor the link. */
final class GossipReceiver {
    private final GatewayState state;
    private final SegmentQuarantine quarantine;
    private final RolloutController rollout;

    GossipReceiver(GatewayState state, SegmentQuarantine quarantine, RolloutController rollout) {
        this.state = state;
        this.quarantine = quarantine;
        this.rollout = rollout;
    }

    /**
     * Applies a message.
     *
     * @param peer the name of the peer's host
     * @param incarnation the incarnation of the peer's process
     * @param gossip the message
     */
    void apply(String peer, long incarnation, Message.Gossip gossip) {
        long nowNanos = System.nanoTime();
        applyServers(peer, gossip, nowNanos);
        applyCache(gossip, nowNanos);
        Guarded.run("gossip of lease", () -> rollout.applyLeaseSnapshot(gossip.lease()));
        Guarded.run(
                "gossip of configuration",
                () -> state.configuration()
                        .freshness()
                        .recordGossip(gossip.operator().configuration()));
        Guarded.run(
                "gossip of weights",
                () -> gossip.operator().weights().forEach(weights -> state.recordPublishedWeights(weights, peer)));
        Guarded.run("gossip of quarantine", () -> quarantine.applyGossip(peer, gossip.quarantine(), nowNanos));
        Guarded.run(
                "gossip of customers", () -> state.customerLimits().applyGossip(peer, incarnation, gossip.customers()));
    }

    private void applyServers(String peer, Message.Gossip gossip, long nowNanos) {
        boolean complete = gossip.servers().complete();
        Guarded.run(
                "gossip of loads",
                () -> state.directory()
                        .applyGossip(peer, complete, gossip.servers().loads()));
        Guarded.run("gossip of leaving", () -> gossip.servers().leaving().forEach(state.directory()::markLeaving));
        Guarded.run(
                "gossip of streams",
                () -> state.streams().applyGossip(gossip.servers().streams()));
        Guarded.run(
                "gossip of limits",
                () -> state.serverLimits().applyGossip(peer, gossip.servers().limits()));
        Guarded.run(
                "gossip of speeds",
                () -> state.serverSpeeds()
                        .applyGossip(peer, complete, gossip.servers().speeds(), nowNanos));
    }

    private void applyCache(Message.Gossip gossip, long nowNanos) {
        Guarded.run(
                "gossip of saved",
                () -> state.cacheStores()
                        .savedSegments()
                        .applyGossip(gossip.cache().savedKeys(), nowNanos));
        Guarded.run(
                "gossip of prefilled",
                () -> state.directory().applyGossip(gossip.cache().prefilled()));
    }
}

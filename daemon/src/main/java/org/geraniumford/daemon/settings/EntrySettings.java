package org.geraniumford.daemon.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.transport.http.HttpLimits;

/**
 * The settings of an entry.
 *
 * @param processId the process's unique name
 * @param failureDomain the failure domain of its host
 * @param callerAddress where callers connect
 * @param operatorAddress where operators connect
 * @param linkAddress where the router's other processes connect
 * @param platform the platform's base address
 * @param seeds link addresses of peers to ask at the start
 * @param pieceTokens the engines' piece size in tokens
 * @param callerLimits what is accepted from callers
 * @param security how links are authenticated and encrypted
 * @param drainTimeout how long a stop waits for running requests
 * @param routingPolicy how the backend server of a request is chosen
 */
public record EntrySettings(
        String processId,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress operatorAddress,
        InetSocketAddress linkAddress,
        URI platform,
        List<InetSocketAddress> seeds,
        int pieceTokens,
        HttpLimits callerLimits,
        LinkSecurity security,
        Duration drainTimeout,
        RoutingPolicy routingPolicy) {
    /** Copies the list. */
    public EntrySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Creates settings with the standard limits, plain links, the standard drain timeout and routing by probes.
     *
     * @param processId the process's unique name
     * @param failureDomain the failure domain of its host
     * @param callerAddress where callers connect
     * @param operatorAddress where operators connect
     * @param linkAddress where the router's other processes connect
     * @param platform the platform's base address
     * @param seeds link addresses of peers to ask at the start
     * @param pieceTokens the engines' piece size in tokens
     */
    public EntrySettings(
            String processId,
            String failureDomain,
            InetSocketAddress callerAddress,
            InetSocketAddress operatorAddress,
            InetSocketAddress linkAddress,
            URI platform,
            List<InetSocketAddress> seeds,
            int pieceTokens) {
        this(
                processId,
                failureDomain,
                callerAddress,
                operatorAddress,
                linkAddress,
                platform,
                seeds,
                pieceTokens,
                HttpLimits.standard(),
                LinkSecurity.none(),
                SidecarSettings.STANDARD_DRAIN_TIMEOUT,
                RoutingPolicy.PROBE);
    }
}

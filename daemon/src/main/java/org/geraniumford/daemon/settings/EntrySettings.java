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
 * @param blockTokens the engines' piece size in tokens
 * @param routingPolicy how the host of a model request is found
 * @param prefillTokensPerSecond the prompt tokens that an engine computes a second
 * @param callerLimits what is accepted from callers
 * @param security how links are authenticated and encrypted
 * @param drainTimeout how long a stop waits for running requests
 */
public record EntrySettings(
        String processId,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress operatorAddress,
        InetSocketAddress linkAddress,
        URI platform,
        List<InetSocketAddress> seeds,
        int blockTokens,
        RoutingPolicy routingPolicy,
        int prefillTokensPerSecond,
        HttpLimits callerLimits,
        LinkSecurity security,
        Duration drainTimeout) {
    /** The prompt tokens that an ordinary engine computes a second. */
    public static final int DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;

    /** Copies the list. */
    public EntrySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Creates settings with the standard routing and limits, plain links and the standard drain timeout.
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
                RoutingPolicy.PROBE,
                DEFAULT_PREFILL_TOKENS_PER_SECOND,
                HttpLimits.ofDefaults(),
                LinkSecurity.none(),
                SidecarSettings.DEFAULT_DRAIN_TIMEOUT);
    }
}

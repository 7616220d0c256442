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
 * @param failureDomain the failure domain of the process's host
 * @param callerAddress the address that accepts callers' connections
 * @param operatorAddress the address that accepts operators' connections
 * @param linkAddress the address that accepts links from the router's other processes
 * @param platform the platform's base address
 * @param seeds link addresses of the peers from which the process requests the configuration at the start
 * @param blockTokens the engines' block size in tokens
 * @param routingPolicy the policy that selects the host of a model request
 * @param prefillTokensPerSecond the prefill rate of an engine in tokens per second, from which routing estimates the
 *     time to compute prompt tokens that are not cached
 * @param callerLimits the limits of callers' requests and connections
 * @param security how links are authenticated and encrypted
 * @param drainTimeout the longest time for which a stop waits for running requests
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
    /** The prefill rate that routing assumes if the settings give none, in tokens per second. */
    public static final int DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;

    /** Copies the list of seeds. */
    public EntrySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Creates settings with the default routing and limits, plain TCP links and the default drain timeout.
     *
     * @param processId the process's unique name
     * @param failureDomain the failure domain of the process's host
     * @param callerAddress the address that accepts callers' connections
     * @param operatorAddress the address that accepts operators' connections
     * @param linkAddress the address that accepts links from the router's other processes
     * @param platform the platform's base address
     * @param seeds link addresses of the peers from which the process requests the configuration at the start
     * @param blockTokens the engines' block size in tokens
     */
    public EntrySettings(
            String processId,
            String failureDomain,
            InetSocketAddress callerAddress,
            InetSocketAddress operatorAddress,
            InetSocketAddress linkAddress,
            URI platform,
            List<InetSocketAddress> seeds,
            int blockTokens) {
        this(
                processId,
                failureDomain,
                callerAddress,
                operatorAddress,
                linkAddress,
                platform,
                seeds,
                blockTokens,
                RoutingPolicy.PROBE,
                DEFAULT_PREFILL_TOKENS_PER_SECOND,
                HttpLimits.ofDefaults(),
                LinkSecurity.none(),
                SidecarSettings.DEFAULT_DRAIN_TIMEOUT);
    }
}

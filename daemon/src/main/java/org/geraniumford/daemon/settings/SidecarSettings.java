package org.geraniumford.daemon.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * The settings of a sidecar.
 *
 * @param processId the process's unique name
 * @param failureDomain the failure domain of the process's host
 * @param operatorAddress the address that accepts operators' connections
 * @param linkAddress the address that accepts links from the router's other processes
 * @param platform the platform's base address
 * @param seeds link addresses of the peers from which the process requests the configuration at the start
 * @param backend the base address of the backend server on the same host
 * @param service the name of the plain service; empty for a model engine
 * @param security how links are authenticated and encrypted
 * @param drainTimeout the longest time for which a stop waits for running requests
 */
public record SidecarSettings(
        String processId,
        String failureDomain,
        InetSocketAddress operatorAddress,
        InetSocketAddress linkAddress,
        URI platform,
        List<InetSocketAddress> seeds,
        URI backend,
        String service,
        LinkSecurity security,
        Duration drainTimeout) {
    static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofMinutes(5);

    /** Copies the list of seeds. */
    public SidecarSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Creates settings with plain TCP links and the default drain timeout.
     *
     * @param processId the process's unique name
     * @param failureDomain the failure domain of the process's host
     * @param operatorAddress the address that accepts operators' connections
     * @param linkAddress the address that accepts links from the router's other processes
     * @param platform the platform's base address
     * @param seeds link addresses of the peers from which the process requests the configuration at the start
     * @param backend the base address of the backend server on the same host
     * @param service the name of the plain service; empty for a model engine
     */
    public SidecarSettings(
            String processId,
            String failureDomain,
            InetSocketAddress operatorAddress,
            InetSocketAddress linkAddress,
            URI platform,
            List<InetSocketAddress> seeds,
            URI backend,
            String service) {
        this(
                processId,
                failureDomain,
                operatorAddress,
                linkAddress,
                platform,
                seeds,
                backend,
                service,
                LinkSecurity.none(),
                DEFAULT_DRAIN_TIMEOUT);
    }
}

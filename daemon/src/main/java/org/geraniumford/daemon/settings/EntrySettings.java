package org.geraniumford.daemon.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;

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
 */
public record EntrySettings(
        String processId,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress operatorAddress,
        InetSocketAddress linkAddress,
        URI platform,
        List<InetSocketAddress> seeds,
        int pieceTokens) {
    /** Copies the list. */
    public EntrySettings {
        seeds = List.copyOf(seeds);
    }
}

package org.geraniumford.daemon.peers;

import java.time.Duration;
import org.geraniumford.transport.log.LogEvent;

/**
 * Logs what the peers cost, so that late or lost gossip can be told from other causes of a bad choice. Used on one
 * network thread.
 */
final class GossipReport {
    private static final Duration INTERVAL = Duration.ofSeconds(5);

    private long lastReportNanos;
    private long reportedBytes;

    private GossipReport(long nowNanos) {
        this.lastReportNanos = nowNanos;
    }

    // -- construction

    static GossipReport startingAt(long nowNanos) {
        return new GossipReport(nowNanos);
    }

    // -- commands

    /**
     * Logs the numbers of peers and links and the bytes sent since the last report, if one is due.
     *
     * @param sentBytes the bytes sent to all peers since the start
     */
    void logIfDue(int peers, int links, long sentBytes, long nowNanos) {
        if (nowNanos - lastReportNanos < INTERVAL.toNanos()) {
            return;
        }
        lastReportNanos = nowNanos;
        LogEvent.of("gossip")
                .with("peers", peers)
                .with("links", links)
                .with("sent_bytes", sentBytes - reportedBytes)
                .info();
        reportedBytes = sentBytes;
    }
}

package org.geraniumford.daemon.peers;

import java.time.Duration;
import org.geraniumford.core.configuration.Sha256;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.log.LogEvent;

/** Requests newer configurations from peers, and sends them this entry's. Runs on one network thread. */
final class ConfigurationExchange {
    /** How long the response to a request is awaited before another one is sent, besides its time on the link. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(300);

    /** How fast the slowest link of a deployment carries a document beside other messages. */
    private static final int LINK_CHARS_PER_MILLI = 400;

    private final ConfigurationRelay configuration;
    private long lastRequestId;
    private boolean requestPending;
    private long requestSentNanos;

    ConfigurationExchange(ConfigurationRelay configuration) {
        this.configuration = configuration;
    }

    // -- queries

    /** Returns the version in force; 0 before the first configuration. */
    long version() {
        return configuration.version();
    }

    /** Returns how long a response may take. Documents that follow each other are about as long. */
    private Duration responseTimeout() {
        int chars = configuration.document().map(String::length).orElse(0);
        return RESPONSE_TIMEOUT.plusMillis(chars / LINK_CHARS_PER_MILLI);
    }

    // -- events

    /** Responds to a request if this entry's configuration is newer. */
    void requested(Link link, Message.ConfigurationRequest request) {
        configuration
                .document()
                .filter(text -> configuration.version() > request.newerThan())
                .ifPresent(text -> link.send(new Message.ConfigurationResponse(
                        request.id(), configuration.version(), Sha256.hex(text), text)));
    }

    /** Applies the configuration of a peer unless it is not newer, or was damaged on the way. */
    void responded(String peer, Message.ConfigurationResponse response) {
        requestPending = false;
        if (response.version() <= configuration.version()) {
            return;
        }
        if (response.digest().equals(Sha256.hex(response.text()))) {
            configuration.applyDocument(response.text(), peer);
        } else {
            LogEvent.of("configuration_damaged").with("peer", peer).warn();
        }
    }

    /** Requests the configuration of a peer that has told its version, if that is newer. */
    void versionHeard(Link link, long peerVersion) {
        long nowNanos = System.nanoTime();
        boolean awaitingResponse = requestPending
                && nowNanos - requestSentNanos < responseTimeout().toNanos();
        if (peerVersion > configuration.version() && !awaitingResponse) {
            requestPending = true;
            requestSentNanos = nowNanos;
            LogEvent.of("configuration_requested")
                    .with("version", peerVersion)
                    .with("before", configuration.version())
                    .with("from", link)
                    .info();
            link.send(new Message.ConfigurationRequest(++lastRequestId, configuration.version()));
        }
    }
}

package org.geraniumford.daemon.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.service.RouteKind;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.daemon.streams.StreamRegistry;
import org.geraniumford.transport.log.LogEvent;

/**
 * Keeps one stream at servers with one version of their software: the one that sent its first event, in this response
 * or in an earlier one to the same caller. Runs on the gateway's network thread.
 */
final class StreamSoftware {
    /** How much longer than a route's time limit a caller may take until its last try arrives. */
    private static final Duration ARRIVAL_MARGIN = Duration.ofSeconds(1);

    private static final Duration RETRY_AFTER = Duration.ofMillis(300);

    private final StreamRegistry streams;
    private final AdmittedRequest admitted;
    private final DispatchPlanner planner;

    /** The version at the server of the last attempt. */
    private String attemptedVersion = "";

    StreamSoftware(Gateway gateway, AdmittedRequest admitted, DispatchPlanner planner) {
        this.streams = gateway.state().streams();
        this.admitted = admitted;
        this.planner = planner;
    }

    // -- queries

    private boolean isTakenUp() {
        return admitted.route().kind() == RouteKind.STREAMING
                && admitted.request().position().isPresent();
    }

    /** Returns how long after the stream's beginning its caller may take it up again. */
    private Duration lifetime() {
        return admitted.route().timeout().plus(ARRIVAL_MARGIN);
    }

    // -- commands

    /**
     * Finds out which servers may go on with a stream that the caller takes up again.
     *
     * @return the refusal if none may; empty if the request may be sent. Completes on the network thread
     */
    CompletableFuture<Optional<Refusal>> resolve() {
        if (!isTakenUp()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Optional<String> firstRequestId = admitted.request().position().flatMap(StreamPosition::firstRequestId);
        return streams.softwareOf(firstRequestId, admitted.service(), lifetime())
                .thenApply(version -> {
                    log(firstRequestId, version);
                    version.ifPresent(planner::goOnAt);
                    return refusal(version);
                });
    }

    private Optional<Refusal> refusal(Optional<String> version) {
        if (version.isEmpty()) {
            return Optional.of(
                    Refusal.notRun(Reason.STREAM_ORIGIN_UNKNOWN, "nobody knows which software began the stream")
                            .withRetryAfter(RETRY_AFTER));
        }
        return planner.hasServerOf(version.get())
                ? Optional.empty()
                : Optional.of(Refusal.notRun(Reason.STREAM_SOFTWARE_GONE, "the software that began the stream has left")
                        .withRetryAfter(RETRY_AFTER));
    }

    private void log(Optional<String> firstRequestId, Optional<String> version) {
        LogEvent.of("stream_taken_up")
                .with("request", admitted.request().id())
                .with("first", firstRequestId.orElse(""))
                .with("service", admitted.service())
                .with("software", version.orElse("unknown"))
                .info();
    }

    /** Records that a server is sent the request, of which no event has arrived yet. */
    void beginAttempt(ServerState server) {
        attemptedVersion = server.server().softwareVersion();
        if (admitted.route().resumable() && !isTakenUp()) {
            streams.begin(admitted.request().id(), admitted.service(), attemptedVersion, lifetime());
        }
    }

    /** Keeps the stream at the version of the last attempt, whose first event has arrived. */
    void recordFirstEvent() {
        planner.goOnAt(attemptedVersion);
    }
}

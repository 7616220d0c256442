package org.geraniumford.daemon.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.service.RouteKind;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.daemon.streams.StreamAttempt;
import org.geraniumford.daemon.streams.StreamRegistry;
import org.geraniumford.daemon.streams.TakeUp;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.worker.Guarded;

/**
 * Keeps one stream at servers with one version of their software: the one that sent its first event, in this response
 * or in an earlier one to the same caller. Runs on the gateway's network thread.
 */
final class StreamSoftware {
    /** How much longer than a route's time limit a caller may take until its last try arrives. */
    private static final Duration ARRIVAL_MARGIN = Duration.ofSeconds(1);

    private static final Duration RETRY_AFTER = Duration.ofMillis(300);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final StreamRegistry streams;
    private final AdmittedRequest admitted;
    private final DispatchPlanner planner;
    private final StreamedResponse response;

    /** The version at the server of the last attempt. */
    private String attemptedVersion = "";

    /** The last attempt, if its stream may be taken up by the name of this request. */
    private Optional<StreamAttempt> attempt = Optional.empty();

    /** Complete once that version is known to all entries. */
    private CompletableFuture<Void> known = CompletableFuture.completedFuture(null);

    StreamSoftware(Gateway gateway, AdmittedRequest admitted, DispatchPlanner planner, StreamedResponse response) {
        this.streams = gateway.state().streams();
        this.admitted = admitted;
        this.planner = planner;
        this.response = response;
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
                .thenApply(takeUp -> {
                    log(firstRequestId, takeUp);
                    takeUp.version().ifPresent(planner::goOnAt);
                    return refusal(takeUp.version());
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

    private void log(Optional<String> firstRequestId, TakeUp takeUp) {
        LogEvent.of("stream_taken_up")
                .with("request", admitted.request().id())
                .with("first", firstRequestId.orElse(""))
                .with("service", admitted.service())
                .with("software", takeUp.version().orElse("unknown"))
                .with("basis", takeUp.basis().label())
                .with("read_age_ms", takeUp.readAgeMillis().orElse(-1))
                .with("list_age_ms", takeUp.listAgeMillis().orElse(-1))
                .info();
    }

    /**
     * Begins an attempt of the request, of which no event has arrived yet. Its events are held back until its version
     * is known to all entries.
     */
    void beginAttempt(ServerState server) {
        attemptedVersion = server.server().softwareVersion();
        if (admitted.route().resumable() && !isTakenUp()) {
            attempt = Optional.of(
                    streams.begin(admitted.request().id(), admitted.service(), attemptedVersion, lifetime()));
            holdUntilKnown(streams.whenKnownToAll(admitted.service(), attemptedVersion));
        }
    }

    private void holdUntilKnown(CompletableFuture<Void> newest) {
        known = newest;
        response.hold();
        long startNanos = System.nanoTime();
        newest.thenRun(() -> Guarded.run("release of a stream", () -> release(newest, startNanos)));
    }

    /** Sends what was held back, unless a later attempt is held back until another version is known. */
    private void release(CompletableFuture<Void> released, long startNanos) {
        if (released == known && response.release()) {
            LogEvent.of("stream_held")
                    .with("request", admitted.request().id())
                    .with("service", admitted.service())
                    .with("software", attemptedVersion)
                    .with("ms", (System.nanoTime() - startNanos) / NANOS_PER_MILLI)
                    .info();
        }
    }

    /** Keeps the stream at the version of the last attempt, whose first event has arrived, and tells others of it. */
    void recordFirstEvent() {
        planner.goOnAt(attemptedVersion);
        attempt.ifPresent(streams::recordFirstEvent);
    }
}

package org.geraniumford.daemon.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalInt;
import java.util.Set;
import org.geraniumford.core.fleet.ServerLoad;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.forward.AttemptFailure;
import org.geraniumford.core.forward.NextStep;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.quarantine.QuarantineDecision;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.forward.ResponseFraming;
import org.geraniumford.transport.log.LogEvent;

/** The log lines of an attempt that say on what its choice was based and how its response ended. */
final class AttemptLog {
    private AttemptLog() {}

    /** Logs the choice of the server with what it was based on. Called before the load of the attempt is recorded. */
    static void start(AdmittedRequest admitted, ServerState server, Dispatch dispatch, long prefillTokens) {
        ServerLoad load = server.totalLoad();
        LogEvent chosen = LogEvent.of("attempt")
                .with("request", admitted.request().id())
                .with("server", server.server().id())
                .with("software", server.server().softwareVersion())
                .with("running", load.running())
                .with("queued_tokens", load.pendingPrefillTokens());
        LogEvent event = server.limit().isNamed()
                ? chosen.with("limit_per_second", server.limit().rate().orElse(0))
                : chosen;
        dispatch.engine()
                .map(engine -> event.with("weights", weightsText(engine.weightsVersion()))
                        .with("input_tokens", inputTokens(admitted))
                        .with("prefill_tokens", prefillTokens)
                        .with("fetch", engine.fetchFrom().orElse(""))
                        .with("save", engine.saveTo().orElse("")))
                .orElse(event)
                .info();
    }

    /** Logs what has become of a request. */
    static void requestEnd(
            AdmittedRequest admitted, Set<String> attemptedServers, ResponseTimes times, String outcome) {
        LogEvent.of("request")
                .with("request", admitted.request().id())
                .with("route", admitted.route().name())
                .with("configuration", admitted.configurationVersion())
                .with("servers", attemptedServers)
                .with("first_ms", times.firstBytesMillis())
                .with("ms", times.elapsedMillis())
                .with("outcome", outcome)
                .info();
    }

    private static String weightsText(OptionalInt version) {
        return version.isPresent() ? String.valueOf(version.getAsInt()) : "unknown";
    }

    private static long inputTokens(AdmittedRequest admitted) {
        return admitted.request().prompt().map(PromptSpec::inputTokens).orElse(0L);
    }

    /** Logs the status line, what marked the end of the response, and whether a stream ended within an event. */
    static void responseEnd(
            AdmittedRequest admitted,
            ServerState server,
            HttpResponse head,
            ResponseFraming framing,
            boolean withinEvent) {
        LogEvent.of("response_ended")
                .with("request", admitted.request().id())
                .with("server", server.server().id())
                .with("status", head.status().code())
                .with("phrase", LogEvent.limited(head.status().reasonPhrase()))
                .with("ended_by", framing.label())
                .with("within_event", withinEvent)
                .info();
    }

    /** Logs what ended an attempt without a usable response, and what follows. */
    static void end(AdmittedRequest admitted, Attempt ended, AttemptFailure failure, Reason reason, NextStep nextStep) {
        LogEvent.of("attempt_ended")
                .with("request", admitted.request().id())
                .with("server", ended.server().server().id())
                .with("outcome", failure.getClass().getSimpleName())
                .with("reason", reason.label())
                .with("detail", ended.detail())
                .with("next", nextStep)
                .info();
    }

    /** Logs that no attempt may begin, because servers have ended under the request or a segment of its prompt. */
    static void held(AdmittedRequest admitted, QuarantineDecision.Held held) {
        LogEvent.of("held")
                .with("request", admitted.request().id())
                .with("segment", Long.toHexString(held.segment()))
                .with("ends", held.count())
                .with("retry_ms", held.retryAfter().toMillis())
                .info();
    }
}

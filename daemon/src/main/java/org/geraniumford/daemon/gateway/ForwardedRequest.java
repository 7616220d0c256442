package org.geraniumford.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.forward.AttemptFailure;
import org.geraniumford.core.forward.ForwardMachine;
import org.geraniumford.core.forward.NextStep;
import org.geraniumford.core.quarantine.QuarantineDecision;
import org.geraniumford.core.service.RouteKind;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.transport.forward.CallerExchange;
import org.geraniumford.transport.log.LogEvent;

/**
 * One request from its admission to its single response, with its attempts at backend servers. Runs on the gateway's
 * network thread.
 */
final class ForwardedRequest {
    /** No attempt is started with this much time or less left, because it could hardly complete. */
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(30);

    private final Gateway gateway;
    private final CallerExchange exchange;
    private final AdmittedRequest admitted;
    private final ForwardMachine machine;
    private final DispatchPlanner planner;
    private final StreamedResponse stream;
    private final StreamSoftware software;
    private final CustomerCharge charge;
    private final Set<String> attemptedServers = new HashSet<>();
    private ScheduledFuture<?> deadlineTimer;

    /** The attempt in progress; null if there is none. */
    private Attempt attempt;

    /** The backup of the last attempt's memory; empty if none is kept. */
    private Optional<MemoryBackup> backup = Optional.empty();

    private final ResponseTimes times;
    private boolean finished;
    /** Whether a server rejected the request for lack of room. */
    private boolean rejected;

    ForwardedRequest(Gateway gateway, CallerExchange exchange, AdmittedRequest admitted) {
        this.gateway = gateway;
        this.exchange = exchange;
        this.admitted = admitted;
        this.machine = ForwardMachine.of(admitted.route());
        this.stream = StreamedResponse.of(gateway.protocol(), exchange);
        this.times = new ResponseTimes(gateway.metrics(), exchange.headReadNanos());
        this.charge = gateway.state().customerLimits().charge(admitted);
        this.planner = new DispatchPlanner(gateway, admitted, exchange.request(), this::timeLeft);
        this.software = new StreamSoftware(gateway, admitted, planner, stream);
    }

    // -- queries

    Gateway gateway() {
        return gateway;
    }

    CallerExchange exchange() {
        return exchange;
    }

    AdmittedRequest admitted() {
        return admitted;
    }

    DispatchPlanner planner() {
        return planner;
    }

    StreamedResponse stream() {
        return stream;
    }

    /** Returns the time until the request's time limit is reached; negative afterwards. */
    Duration timeLeft() {
        return admitted.timeLimit().minusNanos(times.elapsedNanos());
    }

    /** Returns whether a success is a stream of events. A response to HEAD has no events on any route. */
    boolean isStreaming() {
        return admitted.route().kind() == RouteKind.STREAMING
                && !exchange.request().method().equals(HttpMethod.HEAD);
    }

    // -- attempts

    void start() {
        exchange.onDisconnected(this::handleCallerDisconnect);
        exchange.onWritableChanged(this::matchPace);
        stream.onReleased(this::matchPace);
        deadlineTimer = gateway.loop()
                .schedule(this::handleDeadlineExpired, Math.max(0, timeLeft().toMillis()), TimeUnit.MILLISECONDS);
        software.resolve().thenAccept(refusal -> endIfThrown(() -> startUnlessRefused(refusal)));
    }

    private void startUnlessRefused(Optional<Refusal> refusal) {
        if (!finished && exchange.isConnected()) {
            refusal.ifPresentOrElse(this::refuse, this::startUnlessOverloaded);
        }
    }

    /** Abandons the attempt at a silent server if the request may run elsewhere and the budget allows a retry. */
    void abandonIfSilent(long nowNanos) {
        boolean silent = attempt != null && attempt.isSilent(nowNanos);
        if (silent
                && machine.canAbandonAttempt()
                && gateway.canRetry(admitted.service())
                && charge.allowsRetry(Verdict.MAY_HAVE_RUN)) {
            attempt.abandon(nowNanos);
        }
    }

    /** Withdraws the request from an engine on whose weights it may no longer begin. */
    void withdrawIfOutdated() {
        if (attempt != null) {
            attempt.withdrawIfOutdated();
        }
    }

    /** Starts an attempt of a request that has not run, if the servers have room for it. */
    private void startUnlessOverloaded() {
        planner.refuseByOverload(attemptedServers, rejected).ifPresentOrElse(this::refuse, this::startNextAttempt);
    }

    private void startNextAttempt() {
        if (timeLeft().compareTo(MIN_ATTEMPT_TIME) <= 0) {
            handleDeadlineExpired();
            return;
        }
        QuarantineDecision decision = decide();
        if (decision instanceof QuarantineDecision.Held held) {
            handleHeld(held);
            return;
        }
        boolean suspected = decision instanceof QuarantineDecision.Suspected;
        Optional<ServerState> chosen = planner.chooseServer(attemptedServers, suspected);
        if (chosen.isEmpty()) {
            handleNoServer();
            return;
        }
        ServerState server = chosen.get();
        attemptedServers.add(server.server().id());
        long prefillTokens = planner.prefillTokens(server);
        backup = planner.chooseBackupServer(server, attemptedServers)
                .map(holder -> new MemoryBackup(holder, planner.weightsVersion(server)));
        startAttempt(server, planDispatch(server, Optional.empty()), prefillTokens);
    }

    /** Starts the next attempt, after the round of I/O in which the caller may have left. */
    private void retry() {
        if (finished || !exchange.isConnected()) {
            return;
        }
        if (rejected && !machine.responseStarted() && !machine.mayHaveRun()) {
            startUnlessOverloaded();
        } else {
            startNextAttempt();
        }
    }

    private Dispatch planDispatch(ServerState server, Optional<String> resumeFrom) {
        return planner.planDispatch(
                server, timeLeft(), stream.lastEventId(), backup.map(MemoryBackup::server), resumeFrom);
    }

    private void startAttempt(ServerState server, Dispatch dispatch, long prefillTokens) {
        charge.startAttempt();
        if (!machine.responseStarted()) {
            software.beginAttempt(server);
        }
        attempt = new Attempt(this, server, dispatch, prefillTokens);
        attempt.start();
    }

    /** Returns whether an attempt may begin. A prompt is not suspect once its response has begun. */
    private QuarantineDecision decide() {
        return machine.responseStarted() ? new QuarantineDecision.Unsuspected() : planner.decide();
    }

    private void handleHeld(QuarantineDecision.Held held) {
        AttemptLog.held(admitted, held);
        if (machine.mayHaveRun()) {
            refuse(Refusal.of(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "the server failed"));
        } else {
            refuse(planner.refuseHeld(held));
        }
    }

    AttemptPrompt beginPrompt() {
        return planner.beginAttempt(machine.responseStarted());
    }

    /** Resumes the stream at the engine that holds the backup; aborts the stream if that cannot be. */
    private void resumeAtBackup(MemoryBackup used) {
        Optional<String> obstacle = used.obstacle(planner);
        if (obstacle.isPresent()) {
            abortStream(obstacle.get());
            return;
        }
        ServerState holder = used.server();
        attemptedServers.add(holder.server().id());
        backup = Optional.empty();
        startAttempt(holder, planDispatch(holder, Optional.of(holder.server().address())), 0);
    }

    private void handleNoServer() {
        if (machine.responseStarted()) {
            abortStream("no_server");
        } else if (machine.mayHaveRun()) {
            refuse(Refusal.of(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "no other server"));
        } else {
            refuse(planner.refuseByLimit(attemptedServers)
                    .or(planner::refuseByPause)
                    .orElseGet(
                            () -> Refusal.notRun(Reason.NO_BACKEND, "no server").withRetryAfter(planner.retryAfter())));
        }
    }

    // -- outcomes of an attempt

    /** Decides what follows an attempt without a usable response. */
    void handleAttemptEnd(Attempt ended, AttemptFailure failure, Reason reason) {
        endIfThrown(() -> continueAfter(ended, failure, reason));
    }

    /** Runs a step of this request, and ends the request at once if it throws, so that its caller does not wait. */
    private void endIfThrown(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LogEvent.of("request_failed")
                    .with("request", admitted.request().id())
                    .error(e);
            if (!finished) {
                abortAttempt();
                abortStream("defect");
            }
        }
    }

    private void continueAfter(Attempt ended, AttemptFailure failure, Reason reason) {
        attempt = null;
        rejected |= reason == Reason.QUEUE_FULL;
        charge.endAttempt(failure.verdict());
        boolean mayRetry = timeLeft().compareTo(MIN_ATTEMPT_TIME) > 0
                && !(decide() instanceof QuarantineDecision.Held)
                && charge.allowsRetry(failure.verdict());
        NextStep step = machine.handleAttemptFailure(
                failure, mayRetry, backup.isPresent(), () -> gateway.tryAcquireRetry(admitted.service()));
        AttemptLog.end(admitted, ended, failure, reason, step);
        switch (step) {
            case TRY_ELSEWHERE, RESUME_ELSEWHERE -> {
                gateway.metrics().countRetry(reason);
                stream.discardPartialEvent();
                gateway.loop().execute(() -> endIfThrown(this::retry));
            }
            case CONTINUE_AT_COPY -> {
                gateway.metrics().countRetry(reason);
                stream.discardPartialEvent();
                resumeAtBackup(backup.orElseThrow());
            }
            case PASS_ERROR_ON -> forwardResponse(ended.takeFullResponse());
            case REFUSE ->
                refuse(planner.refuseByPause()
                        .orElseGet(() -> Refusal.notRun(reason, "not run").withRetryAfter(planner.retryAfter())));
            case FAIL -> refuse(Refusal.of(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "the server failed"));
            case CUT_OFF -> abortStream(reason.label());
            default -> throw new IllegalStateException("no case for " + step);
        }
    }

    void forwardResponse(FullHttpResponse response) {
        respond("answered", response);
        times.recordEnd();
    }

    /** Forwards the events that a chunk completes, and returns whether it completes any. */
    boolean forwardStreamChunk(HttpResponse head, ByteBuf chunk) {
        if (!stream.forward(head, chunk)) {
            return false;
        }
        if (!machine.responseStarted()) {
            machine.markResponseStarted();
            software.recordFirstEvent();
            times.recordFirstBytes();
        }
        matchPace();
        return true;
    }

    /** Reads from the server only as fast as the caller receives. */
    private void matchPace() {
        if (attempt != null && !finished) {
            attempt.setReading(stream.hasRoom());
        }
    }

    void completeStream(HttpResponse head) {
        machine.markResponseStarted();
        stream.whenReleased(() -> {
            finish("streamed");
            times.recordEnd();
            stream.end(head);
        });
    }

    // -- completion

    private void refuse(Refusal refusal) {
        gateway.metrics().countRefusal(refusal.reason());
        respond(
                refusal.reason().label(),
                gateway.protocol().encodeRefusal(refusal, admitted.request().id()));
    }

    /** Sends the only response, or cuts off the one that the caller is receiving. */
    private void respond(String outcome, FullHttpResponse response) {
        if (exchange.hasBegun()) {
            response.release();
            abortStream("second_response");
            return;
        }
        finish(outcome);
        exchange.respond(response);
    }

    private void abortStream(String reason) {
        stream.whenReleased(() -> {
            finish("cut_off_" + reason);
            gateway.metrics().countRefusal(Reason.STREAM_BROKEN);
            exchange.abort();
        });
    }

    private void handleCallerDisconnect() {
        gateway.metrics().countCallerDisconnect();
        abortAttempt();
        finish("caller_left");
    }

    private void handleDeadlineExpired() {
        if (finished) {
            return;
        }
        boolean mayHaveRun = machine.mayHaveRun() || (attempt != null && attempt.isSent());
        abortAttempt();
        if (exchange.hasBegun()) {
            abortStream("deadline");
        } else if (mayHaveRun) {
            refuse(Refusal.of(Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, "no answer in time"));
        } else {
            refuse(Refusal.notRun(Reason.DEADLINE_PASSED, "not sent in time"));
        }
    }

    /** Ends the request because the process ends, as at the end of its time. */
    void endAtShutdown() {
        LogEvent.of("ended_at_shutdown")
                .with("request", admitted.request().id())
                .with("left_ms", timeLeft().toMillis())
                .info();
        handleDeadlineExpired();
    }

    private void abortAttempt() {
        if (attempt != null) {
            charge.endAttempt(attempt.isSent() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN);
            attempt.abort();
            attempt = null;
        }
    }

    /**
     * Removes the request from the gateway, releases its body and logs the outcome. The response itself is not ended.
     */
    private void finish(String outcome) {
        finished = true;
        stream.discardHeld();
        deadlineTimer.cancel(false);
        exchange.release();
        gateway.removeRequest(this);
        AttemptLog.requestEnd(admitted, attemptedServers, times, outcome);
    }
}

package org.geraniumford.core.request;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;
import org.geraniumford.core.retry.RetryPolicy;
import org.geraniumford.core.routing.RoutingCosts;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.core.stream.Placement;
import org.geraniumford.core.stream.StreamAssembler;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.Message;

/**
 * The decisions of an entry for one model request. The caller gets the answer's tokens in order, each once, and then
 * one terminal event: the end, or an error whose verdict is true.
 */
public final class RequestMachine {
    private final AttemptStarter starter;
    private final AttemptFailureHandler failureHandler;
    private final RequestLimits limits;

    private RequestMachine(AttemptStarter starter, AttemptFailureHandler failure, RequestLimits limits) {
        this.starter = starter;
        this.failureHandler = failure;
        this.limits = limits;
    }

    // -- construction

    /**
     * Creates a machine; it holds no state.
     *
     * @param policy how hosts are found
     * @param costs how hosts are compared
     * @param retries when attempts follow each other
     * @param limits the bounds of one request
     * @return the machine
     */
    public static RequestMachine of(
            RoutingPolicy policy, RoutingCosts costs, RetryPolicy retries, RequestLimits limits) {
        requireNonNull(policy, "policy is null");
        requireNonNull(costs, "costs is null");
        requireNonNull(retries, "retries is null");
        requireNonNull(limits, "limits is null");
        return new RequestMachine(
                new AttemptStarter(policy, costs, limits), new AttemptFailureHandler(retries), limits);
    }

    // -- transitions

    /**
     * Starts a request.
     *
     * @param spec the request
     * @param context what else the decision depends on
     * @return the first state and what to do
     */
    public RequestStep start(RequestSpec spec, RequestContext context) {
        return startAttempt(RequestState.start(spec), context);
    }

    /**
     * Handles an event.
     *
     * @param state the state before it
     * @param event what happened
     * @param context what else the decision depends on
     * @return the state after it and what to do; an event that does not concern the state changes nothing
     */
    public RequestStep step(RequestState state, RequestEvent event, RequestContext context) {
        if (state.isDone()) {
            return RequestStep.of(state);
        }
        if (event instanceof RequestEvent.ProbeResponseReceived answered) {
            return handleProbeResponse(state, answered, context);
        }
        if (event instanceof RequestEvent.MessageReceived received) {
            return handleMessage(state, received, context);
        }
        if (event instanceof RequestEvent.PongReceived heard) {
            return handlePong(state, heard, context);
        }
        if (event instanceof RequestEvent.HostLost lost) {
            return handleHostLost(state, lost, context);
        }
        if (event instanceof RequestEvent.SubmitFailed failed) {
            return handleSubmitFailed(state, failed, context);
        }
        if (event instanceof RequestEvent.CallerDisconnected) {
            return failureHandler.abandon(state, Reason.CALLER_GONE);
        }
        if (event instanceof RequestEvent.CallerBlocked) {
            return handleCallerBlocked(state, context);
        }
        if (event instanceof RequestEvent.CallerReady) {
            return grantCredit(RequestStep.of(state.withBlockedSince(OptionalLong.empty())), context);
        }
        return handleTick(state, context);
    }

    // -- choice of a host

    private RequestStep startAttempt(RequestState state, RequestContext context) {
        return starter.startAttempt(state, context).orElseGet(() -> handleNoBackend(state, context));
    }

    private RequestStep handleNoBackend(RequestState state, RequestContext context) {
        Refusal refusal = Refusal.notRun(Reason.NO_BACKEND, "no live engine holds the model version");
        return state.attemptNumber() == 1
                ? failureHandler.fail(state, refusal)
                : failureHandler.endAttempt(state, refusal, context);
    }

    private RequestStep handleProbeResponse(
            RequestState state, RequestEvent.ProbeResponseReceived answered, RequestContext context) {
        return state.phase() instanceof Phase.Probing probing
                ? starter.handleProbeResponse(state, probing, answered, context)
                        .orElseGet(() -> startAttempt(state, context))
                : RequestStep.of(state);
    }

    // -- frames

    private RequestStep handleMessage(
            RequestState state, RequestEvent.MessageReceived received, RequestContext context) {
        if (!(state.phase() instanceof Phase.Running running) || !running.host().equals(received.host())) {
            return RequestStep.of(state, new RequestAction.CountDroppedFrame(Placement.STALE));
        }
        RequestState heard = state.withPhase(running.withReceived(context.nowNanos()));
        Message message = received.message();
        if (message instanceof Message.Started started) {
            return handleStarted(heard, running, started, context);
        }
        if (message instanceof Message.Chunk chunk) {
            return handleChunk(heard, running, chunk, context);
        }
        if (message instanceof Message.End end) {
            return handleEnd(heard, running, end, context);
        }
        return message instanceof Message.Refused refused
                ? handleRefused(heard, running, refused, context)
                : RequestStep.of(heard);
    }

    private RequestStep handleStarted(
            RequestState state, Phase.Running running, Message.Started started, RequestContext context) {
        if (!started.id().equals(state.assembler().attemptId())) {
            return RequestStep.of(state, new RequestAction.CountDroppedFrame(Placement.STALE));
        }
        if (!started.weightsDigest().equals(state.spec().scope().weightsDigest())) {
            Refusal wrong = Refusal.of(Reason.WRONG_WEIGHTS, Verdict.RAN, "the engine answers from other weights");
            return failureHandler.cancelAttempt(state, running.host(), wrong, context);
        }
        return RequestStep.of(
                state.withPhase(running.withProgress(context.nowNanos())),
                new RequestAction.RecordPrefixLocation(running.host(), started));
    }

    private RequestStep handleChunk(
            RequestState state, Phase.Running running, Message.Chunk chunk, RequestContext context) {
        StreamAssembler.Delivery delivery = state.assembler().accept(chunk);
        Placement placement =
                running.started() || delivery.placement() == Placement.STALE ? delivery.placement() : Placement.GAP;
        return switch (placement) {
            case NEXT ->
                grantCredit(
                        RequestStep.of(
                                state.withAssembler(delivery.assembler())
                                        .withPhase(running.withProgress(context.nowNanos())),
                                new RequestAction.Deliver(delivery.tokens())),
                        context);
            case GAP -> handleBrokenStream(state, running, "tokens are missing from the answer", context);
            default -> RequestStep.of(state, new RequestAction.CountDroppedFrame(placement));
        };
    }

    private RequestStep handleEnd(RequestState state, Phase.Running running, Message.End end, RequestContext context) {
        return switch (state.assembler().accept(end)) {
            case NEXT ->
                RequestStep.of(state.withPhase(new Phase.Done()), new RequestAction.Complete(running.host(), end));
            case GAP -> handleBrokenStream(state, running, "the answer ended at another offset", context);
            default -> RequestStep.of(state, new RequestAction.CountDroppedFrame(Placement.STALE));
        };
    }

    private RequestStep handleRefused(
            RequestState state, Phase.Running running, Message.Refused refused, RequestContext context) {
        return refused.id().equals(state.assembler().attemptId())
                ? failureHandler.endAttempt(state, running.host(), refused.refusal(), context)
                : RequestStep.of(state, new RequestAction.CountDroppedFrame(Placement.STALE));
    }

    private RequestStep handleBrokenStream(
            RequestState state, Phase.Running running, String detail, RequestContext context) {
        Refusal refusal = Refusal.of(Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN, detail);
        return failureHandler.cancelAttempt(state, running.host(), refusal, context);
    }

    // -- hosts

    private RequestStep handlePong(RequestState state, RequestEvent.PongReceived heard, RequestContext context) {
        return state.phase() instanceof Phase.Running running && running.host().equals(heard.host())
                ? RequestStep.of(state.withPhase(running.withReceived(context.nowNanos())))
                : RequestStep.of(state);
    }

    private RequestStep handleHostLost(RequestState state, RequestEvent.HostLost lost, RequestContext context) {
        if (!state.isRunningOn(lost.host())) {
            return RequestStep.of(state);
        }
        Reason reason = lost.broken() ? Reason.BROKEN_FRAME : Reason.CONNECTION_LOST;
        Refusal refusal = Refusal.of(reason, Verdict.MAY_HAVE_RUN, "the link to " + lost.host() + " was lost");
        return failureHandler.endAttempt(state, lost.host(), refusal, context);
    }

    private RequestStep handleSubmitFailed(
            RequestState state, RequestEvent.SubmitFailed failed, RequestContext context) {
        if (!state.isRunningOn(failed.host())) {
            return RequestStep.of(state);
        }
        Refusal refusal = Refusal.notRun(Reason.CONNECT_FAILED, "the link to " + failed.host() + " takes nothing");
        return failureHandler.endAttempt(state, failed.host(), refusal, context);
    }

    // -- the caller

    private static RequestStep handleCallerBlocked(RequestState state, RequestContext context) {
        return state.blockedSinceNanos().isPresent()
                ? RequestStep.of(state)
                : RequestStep.of(state.withBlockedSince(OptionalLong.of(context.nowNanos())));
    }

    /** Lets the engine go on once half of the window is used up and the caller keeps up. */
    private RequestStep grantCredit(RequestStep step, RequestContext context) {
        RequestState state = step.state();
        int delivered = state.assembler().deliveredTokens();
        boolean due = state.blockedSinceNanos().isEmpty()
                && state.phase() instanceof Phase.Running running
                && running.granted() - delivered <= limits.windowTokens() / 2;
        if (!due) {
            return step;
        }
        Phase.Running running = (Phase.Running) state.phase();
        int upTo = delivered + limits.windowTokens();
        return step.map(before -> before.withPhase(running.granted(upTo, context.nowNanos())))
                .withAction(new RequestAction.Send(
                        running.host(), new Message.Credit(state.assembler().attemptId(), upTo)));
    }

    // -- time

    private RequestStep handleTick(RequestState state, RequestContext context) {
        if (hasElapsed(state.blockedSinceNanos(), limits.slowReaderTimeout().toNanos(), context)) {
            return failureHandler.abandon(state, Reason.SLOW_READER);
        }
        if (state.phase() instanceof Phase.Probing probing && context.nowNanos() - probing.deadlineNanos() >= 0) {
            return starter.handleProbeTimeout(state, probing, context).orElseGet(() -> startAttempt(state, context));
        }
        if (state.phase() instanceof Phase.Scheduled waiting && context.nowNanos() - waiting.startNanos() >= 0) {
            return startAttempt(state, context);
        }
        return state.phase() instanceof Phase.Running running
                ? checkLiveness(state, running, context)
                : RequestStep.of(state);
    }

    private RequestStep checkLiveness(RequestState state, Phase.Running running, RequestContext context) {
        long now = context.nowNanos();
        if (hasElapsed(running.pingSentNanos(), limits.pongTimeout().toNanos(), context)) {
            return RequestStep.of(state, new RequestAction.Suspect(running.host()))
                    .then(before -> handleTimeout(before, running, "the host says nothing", context));
        }
        boolean mayProgress = running.granted() > state.assembler().deliveredTokens();
        if (mayProgress
                && now - running.lastProgressNanos() >= limits.progressTimeout().toNanos()) {
            return handleTimeout(state, running, "the engine makes no progress", context);
        }
        boolean quiet = running.pingSentNanos().isEmpty()
                && now - running.lastReceivedNanos() >= limits.pingAfter().toNanos();
        return quiet
                ? RequestStep.of(state.withPhase(running.withPingSent(now)), new RequestAction.Ping(running.host()))
                : RequestStep.of(state);
    }

    private RequestStep handleTimeout(
            RequestState state, Phase.Running running, String detail, RequestContext context) {
        Refusal refusal = Refusal.of(Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, detail);
        return failureHandler.cancelAttempt(state, running.host(), refusal, context);
    }

    private static boolean hasElapsed(OptionalLong sinceNanos, long limitNanos, RequestContext context) {
        return sinceNanos.isPresent() && context.nowNanos() - sinceNanos.getAsLong() >= limitNanos;
    }
}

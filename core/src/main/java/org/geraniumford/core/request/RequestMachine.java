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
 * Decides the actions of an entry for each model request. The caller receives the tokens of the response in order, each
 * exactly once, and then one terminal event: the end, or an error whose verdict states correctly whether the request
 * may have run. A caller that disconnects or accepts no bytes for too long gets no terminal event.
 */
public final class RequestMachine {
    private final AttemptStarter starter;
    private final AttemptFailureHandler failureHandler;
    private final RequestLimits limits;

    private RequestMachine(AttemptStarter starter, AttemptFailureHandler failureHandler, RequestLimits limits) {
        this.starter = starter;
        this.failureHandler = failureHandler;
        this.limits = limits;
    }

    // -- construction

    /**
     * Creates a machine, which holds no request state and serves any number of requests.
     *
     * @param policy how candidate hosts are found
     * @param costs how candidate hosts are compared
     * @param retryPolicy when a failed attempt is followed by a retry
     * @param limits the timeouts and the window of one request
     * @return the machine
     */
    public static RequestMachine of(
            RoutingPolicy policy, RoutingCosts costs, RetryPolicy retryPolicy, RequestLimits limits) {
        requireNonNull(policy, "policy is null");
        requireNonNull(costs, "costs is null");
        requireNonNull(retryPolicy, "retryPolicy is null");
        requireNonNull(limits, "limits is null");
        return new RequestMachine(
                new AttemptStarter(policy, costs, limits), new AttemptFailureHandler(retryPolicy), limits);
    }

    // -- transitions

    /**
     * Starts a request.
     *
     * @param spec the request
     * @param context the input of the decision besides the request's state
     * @return the first state and the actions to perform
     */
    public RequestStep start(RequestSpec spec, RequestContext context) {
        return startAttempt(RequestState.start(spec), context);
    }

    /**
     * Handles an event.
     *
     * @param state the state before the event
     * @param event the event
     * @param context the input of the decision besides the request's state
     * @return the state after the event and the actions to perform; an event that does not concern the current phase
     *     changes nothing
     */
    public RequestStep step(RequestState state, RequestEvent event, RequestContext context) {
        if (state.isDone()) {
            return RequestStep.of(state);
        }
        if (event instanceof RequestEvent.ProbeResponseReceived response) {
            return handleProbeResponse(state, response, context);
        }
        if (event instanceof RequestEvent.FrameReceived received) {
            return handleMessage(state, received, context);
        }
        if (event instanceof RequestEvent.PongReceived pong) {
            return handlePong(state, pong, context);
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
        if (event instanceof RequestEvent.CallerWritable) {
            return grantCredit(RequestStep.of(state.withBlockedSince(OptionalLong.empty())), context);
        }
        return handleTick(state, context);
    }

    // -- choosing a host

    private RequestStep startAttempt(RequestState state, RequestContext context) {
        return starter.startAttempt(state, context).orElseGet(() -> handleNoEngine(state, context));
    }

    /** Fails the request if its first attempt finds no engine; a later attempt without an engine may be retried. */
    private RequestStep handleNoEngine(RequestState state, RequestContext context) {
        Refusal refusal = Refusal.notRun(Reason.NO_BACKEND, "no live engine holds the model version");
        return state.attemptNumber() == 1
                ? failureHandler.fail(state, refusal)
                : failureHandler.endAttempt(state, refusal, context);
    }

    private RequestStep handleProbeResponse(
            RequestState state, RequestEvent.ProbeResponseReceived response, RequestContext context) {
        return state.phase() instanceof Phase.Probing probing
                ? starter.handleProbeResponse(state, probing, response, context)
                        .orElseGet(() -> startAttempt(state, context))
                : RequestStep.of(state);
    }

    // -- frames

    private RequestStep handleMessage(RequestState state, RequestEvent.FrameReceived received, RequestContext context) {
        if (!(state.phase() instanceof Phase.Running running) || !running.host().equals(received.host())) {
            return RequestStep.of(state, new RequestAction.CountDroppedFrame(Placement.STALE));
        }
        RequestState updated = state.withPhase(running.withReceived(context.nowNanos()));
        Message message = received.message();
        if (message instanceof Message.Started started) {
            return handleStarted(updated, running, started, context);
        }
        if (message instanceof Message.Chunk chunk) {
            return handleChunk(updated, running, chunk, context);
        }
        if (message instanceof Message.End end) {
            return handleEnd(updated, running, end, context);
        }
        return message instanceof Message.Refused refused
                ? handleRefused(updated, running, refused, context)
                : RequestStep.of(updated);
    }

    private RequestStep handleStarted(
            RequestState state, Phase.Running running, Message.Started started, RequestContext context) {
        if (!started.id().equals(state.assembler().attemptId())) {
            return RequestStep.of(state, new RequestAction.CountDroppedFrame(Placement.STALE));
        }
        if (!started.weightsDigest().equals(state.spec().scope().weightsDigest())) {
            Refusal wrongWeights =
                    Refusal.of(Reason.WRONG_WEIGHTS, Verdict.RAN, "the engine answers from other weights");
            return failureHandler.cancelAttempt(state, running.host(), wrongWeights, context);
        }
        return RequestStep.of(
                state.withPhase(running.withProgress(context.nowNanos())),
                new RequestAction.RecordPrefixLocation(running.host(), started));
    }

    private RequestStep handleChunk(
            RequestState state, Phase.Running running, Message.Chunk chunk, RequestContext context) {
        StreamAssembler.Delivery delivery = state.assembler().accept(chunk);
        // A chunk before Started is treated as a gap, because the engine's weights are not confirmed yet.
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

    private RequestStep handlePong(RequestState state, RequestEvent.PongReceived pong, RequestContext context) {
        return state.phase() instanceof Phase.Running running && running.host().equals(pong.host())
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

    /** Grants the engine more credit once half of the window is used, unless the caller is blocked. */
    private RequestStep grantCredit(RequestStep step, RequestContext context) {
        RequestState state = step.state();
        int deliveredTokens = state.assembler().deliveredTokens();
        boolean creditDue = state.blockedSinceNanos().isEmpty()
                && state.phase() instanceof Phase.Running running
                && running.grantedTokens() - deliveredTokens <= limits.windowTokens() / 2;
        if (!creditDue) {
            return step;
        }
        Phase.Running running = (Phase.Running) state.phase();
        int upToOffset = deliveredTokens + limits.windowTokens();
        return step.map(current -> current.withPhase(running.withGranted(upToOffset, context.nowNanos())))
                .withAction(new RequestAction.Send(
                        running.host(), new Message.Credit(state.assembler().attemptId(), upToOffset)));
    }

    // -- time

    private RequestStep handleTick(RequestState state, RequestContext context) {
        if (hasElapsed(state.blockedSinceNanos(), limits.slowReaderTimeout().toNanos(), context)) {
            return failureHandler.abandon(state, Reason.SLOW_READER);
        }
        if (state.phase() instanceof Phase.Probing probing && context.nowNanos() - probing.deadlineNanos() >= 0) {
            return starter.handleProbeTimeout(state, probing, context).orElseGet(() -> startAttempt(state, context));
        }
        if (state.phase() instanceof Phase.Scheduled scheduled && context.nowNanos() - scheduled.startNanos() >= 0) {
            return startAttempt(state, context);
        }
        return state.phase() instanceof Phase.Running running
                ? checkLiveness(state, running, context)
                : RequestStep.of(state);
    }

    private RequestStep checkLiveness(RequestState state, Phase.Running running, RequestContext context) {
        long nowNanos = context.nowNanos();
        if (hasElapsed(running.pingSentNanos(), limits.pongTimeout().toNanos(), context)) {
            return RequestStep.of(state, new RequestAction.Suspect(running.host()))
                    .then(current -> handleTimeout(current, running, "the host says nothing", context));
        }
        boolean hasCredit = running.grantedTokens() > state.assembler().deliveredTokens();
        if (hasCredit
                && nowNanos - running.lastProgressNanos()
                        >= limits.progressTimeout().toNanos()) {
            return handleTimeout(state, running, "the engine makes no progress", context);
        }
        boolean pingDue = running.pingSentNanos().isEmpty()
                && nowNanos - running.lastReceivedNanos() >= limits.pingAfter().toNanos();
        return pingDue
                ? RequestStep.of(
                        state.withPhase(running.withPingSent(nowNanos)), new RequestAction.Ping(running.host()))
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

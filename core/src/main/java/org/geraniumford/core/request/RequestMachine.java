package org.geraniumford.core.request;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;
import org.geraniumford.core.retry.RetryPolicy;
import org.geraniumford.core.routing.CostModel;
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
    private final AttemptFailure failure;
    private final RequestLimits limits;

    private RequestMachine(AttemptStarter starter, AttemptFailure failure, RequestLimits limits) {
        this.starter = starter;
        this.failure = failure;
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
    public static RequestMachine of(RoutingPolicy policy, CostModel costs, RetryPolicy retries, RequestLimits limits) {
        requireNonNull(policy, "policy is null");
        requireNonNull(costs, "costs is null");
        requireNonNull(retries, "retries is null");
        requireNonNull(limits, "limits is null");
        return new RequestMachine(new AttemptStarter(policy, costs, limits), new AttemptFailure(retries), limits);
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
        return begin(RequestState.start(spec), context);
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
        if (state.done()) {
            return RequestStep.of(state);
        }
        if (event instanceof RequestEvent.ProbeAnswered answered) {
            return probeAnswered(state, answered, context);
        }
        if (event instanceof RequestEvent.Received received) {
            return received(state, received, context);
        }
        if (event instanceof RequestEvent.Heard heard) {
            return heard(state, heard, context);
        }
        if (event instanceof RequestEvent.HostLost lost) {
            return hostLost(state, lost, context);
        }
        if (event instanceof RequestEvent.SubmitFailed failed) {
            return submitFailed(state, failed, context);
        }
        if (event instanceof RequestEvent.CallerGone) {
            return failure.abandon(state, Reason.CALLER_GONE);
        }
        if (event instanceof RequestEvent.CallerBlocked) {
            return callerBlocked(state, context);
        }
        if (event instanceof RequestEvent.CallerReady) {
            return grant(RequestStep.of(state.blocked(OptionalLong.empty())), context);
        }
        return tick(state, context);
    }

    // -- choice of a host

    private RequestStep begin(RequestState state, RequestContext context) {
        return starter.begin(state, context).orElseGet(() -> noBackend(state, context));
    }

    private RequestStep noBackend(RequestState state, RequestContext context) {
        Refusal refusal = Refusal.notRun(Reason.NO_BACKEND, "no live engine holds the model version");
        return state.attempt() == 1 ? failure.fail(state, refusal) : failure.after(state, refusal, context);
    }

    private RequestStep probeAnswered(RequestState state, RequestEvent.ProbeAnswered answered, RequestContext context) {
        return state.phase() instanceof Phase.Probing probing
                ? starter.answered(state, probing, answered, context).orElseGet(() -> begin(state, context))
                : RequestStep.of(state);
    }

    // -- frames

    private RequestStep received(RequestState state, RequestEvent.Received received, RequestContext context) {
        if (!(state.phase() instanceof Phase.Running running) || !running.host().equals(received.host())) {
            return RequestStep.of(state, new RequestAction.Drop(Placement.STALE));
        }
        RequestState heard = state.in(running.heard(context.nowNanos()));
        Message message = received.message();
        if (message instanceof Message.Started started) {
            return started(heard, running, started, context);
        }
        if (message instanceof Message.Chunk chunk) {
            return chunk(heard, running, chunk, context);
        }
        if (message instanceof Message.End end) {
            return end(heard, running, end, context);
        }
        return message instanceof Message.Refused refused
                ? refused(heard, running, refused, context)
                : RequestStep.of(heard);
    }

    private RequestStep started(
            RequestState state, Phase.Running running, Message.Started started, RequestContext context) {
        if (!started.id().equals(state.assembler().attempt())) {
            return RequestStep.of(state, new RequestAction.Drop(Placement.STALE));
        }
        if (!started.weightsDigest().equals(state.spec().scope().weightsDigest())) {
            Refusal wrong = Refusal.of(Reason.WRONG_WEIGHTS, Verdict.RAN, "the engine answers from other weights");
            return failure.cancelled(state, running.host(), wrong, context);
        }
        return RequestStep.of(
                state.in(running.progressed(context.nowNanos())), new RequestAction.Served(running.host(), started));
    }

    private RequestStep chunk(RequestState state, Phase.Running running, Message.Chunk chunk, RequestContext context) {
        StreamAssembler.Delivery delivery = state.assembler().accept(chunk);
        Placement placement =
                running.started() || delivery.placement() == Placement.STALE ? delivery.placement() : Placement.GAP;
        return switch (placement) {
            case NEXT ->
                grant(
                        RequestStep.of(
                                state.with(delivery.assembler()).in(running.progressed(context.nowNanos())),
                                new RequestAction.Deliver(delivery.tokens())),
                        context);
            case GAP -> broken(state, running, "tokens are missing from the answer", context);
            default -> RequestStep.of(state, new RequestAction.Drop(placement));
        };
    }

    private RequestStep end(RequestState state, Phase.Running running, Message.End end, RequestContext context) {
        return switch (state.assembler().accept(end)) {
            case NEXT -> RequestStep.of(state.in(new Phase.Done()), new RequestAction.Complete(running.host(), end));
            case GAP -> broken(state, running, "the answer ended at another offset", context);
            default -> RequestStep.of(state, new RequestAction.Drop(Placement.STALE));
        };
    }

    private RequestStep refused(
            RequestState state, Phase.Running running, Message.Refused refused, RequestContext context) {
        return refused.id().equals(state.assembler().attempt())
                ? failure.after(state, running.host(), refused.refusal(), context)
                : RequestStep.of(state, new RequestAction.Drop(Placement.STALE));
    }

    private RequestStep broken(RequestState state, Phase.Running running, String detail, RequestContext context) {
        Refusal refusal = Refusal.of(Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN, detail);
        return failure.cancelled(state, running.host(), refusal, context);
    }

    // -- hosts

    private RequestStep heard(RequestState state, RequestEvent.Heard heard, RequestContext context) {
        return state.phase() instanceof Phase.Running running && running.host().equals(heard.host())
                ? RequestStep.of(state.in(running.heard(context.nowNanos())))
                : RequestStep.of(state);
    }

    private RequestStep hostLost(RequestState state, RequestEvent.HostLost lost, RequestContext context) {
        if (!state.runsOn(lost.host())) {
            return RequestStep.of(state);
        }
        Reason reason = lost.broken() ? Reason.BROKEN_FRAME : Reason.CONNECTION_LOST;
        Refusal refusal = Refusal.of(reason, Verdict.MAY_HAVE_RUN, "the link to " + lost.host() + " was lost");
        return failure.after(state, lost.host(), refusal, context);
    }

    private RequestStep submitFailed(RequestState state, RequestEvent.SubmitFailed failed, RequestContext context) {
        if (!state.runsOn(failed.host())) {
            return RequestStep.of(state);
        }
        Refusal refusal = Refusal.notRun(Reason.CONNECT_FAILED, "the link to " + failed.host() + " takes nothing");
        return failure.after(state, failed.host(), refusal, context);
    }

    // -- the caller

    private static RequestStep callerBlocked(RequestState state, RequestContext context) {
        return state.blockedNanos().isPresent()
                ? RequestStep.of(state)
                : RequestStep.of(state.blocked(OptionalLong.of(context.nowNanos())));
    }

    /** Lets the engine go on once half of the window is used up and the caller keeps up. */
    private RequestStep grant(RequestStep step, RequestContext context) {
        RequestState state = step.state();
        int delivered = state.assembler().delivered();
        boolean due = state.blockedNanos().isEmpty()
                && state.phase() instanceof Phase.Running running
                && running.granted() - delivered <= limits.window() / 2;
        if (!due) {
            return step;
        }
        Phase.Running running = (Phase.Running) state.phase();
        int upTo = delivered + limits.window();
        return step.map(before -> before.in(running.granted(upTo, context.nowNanos())))
                .and(new RequestAction.Send(
                        running.host(), new Message.Credit(state.assembler().attempt(), upTo)));
    }

    // -- time

    private RequestStep tick(RequestState state, RequestContext context) {
        if (elapsed(state.blockedNanos(), limits.slowReaderTimeout().toNanos(), context)) {
            return failure.abandon(state, Reason.SLOW_READER);
        }
        if (state.phase() instanceof Phase.Probing probing && context.nowNanos() - probing.dueNanos() >= 0) {
            return starter.probesDue(state, probing, context).orElseGet(() -> begin(state, context));
        }
        if (state.phase() instanceof Phase.Waiting waiting && context.nowNanos() - waiting.dueNanos() >= 0) {
            return begin(state, context);
        }
        return state.phase() instanceof Phase.Running running ? watch(state, running, context) : RequestStep.of(state);
    }

    private RequestStep watch(RequestState state, Phase.Running running, RequestContext context) {
        long now = context.nowNanos();
        if (elapsed(running.pingedNanos(), limits.pongTimeout().toNanos(), context)) {
            return RequestStep.of(state, new RequestAction.Suspect(running.host()))
                    .then(before -> silent(before, running, "the host says nothing", context));
        }
        boolean mayProgress = running.granted() > state.assembler().delivered();
        if (mayProgress
                && now - running.progressNanos() >= limits.progressTimeout().toNanos()) {
            return silent(state, running, "the engine makes no progress", context);
        }
        boolean quiet = running.pingedNanos().isEmpty()
                && now - running.heardNanos() >= limits.pingAfter().toNanos();
        return quiet
                ? RequestStep.of(state.in(running.pinged(now)), new RequestAction.Ping(running.host()))
                : RequestStep.of(state);
    }

    private RequestStep silent(RequestState state, Phase.Running running, String detail, RequestContext context) {
        Refusal refusal = Refusal.of(Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, detail);
        return failure.cancelled(state, running.host(), refusal, context);
    }

    private static boolean elapsed(OptionalLong sinceNanos, long limitNanos, RequestContext context) {
        return sinceNanos.isPresent() && context.nowNanos() - sinceNanos.getAsLong() >= limitNanos;
    }
}

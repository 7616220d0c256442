package org.geraniumford.daemon.entry;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.geraniumford.core.request.RequestAction;
import org.geraniumford.core.request.RequestEvent;
import org.geraniumford.core.request.RequestSpec;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.http.HttpExchange;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.log.LogEvent;

/** Executes the actions that the state machine of a request returns. Used by one shard only; not thread-safe. */
final class ActionExecutor {
    private final ModelShard.ShardDependencies dependencies;
    private final PendingProbes probes;

    ActionExecutor(ModelShard.ShardDependencies dependencies, PendingProbes probes) {
        this.dependencies = dependencies;
        this.probes = probes;
    }

    // -- queries

    /** Returns whether an action spends one retry of the retry budget. */
    static boolean isRetry(RequestAction action) {
        return action instanceof RequestAction.CountRetry;
    }

    // -- commands

    /**
     * Executes one action.
     *
     * @return an event that the request must handle next: the submit could not be written, or the caller does not
     *     accept more bytes for now; usually empty
     */
    Optional<RequestEvent> execute(ActiveRequest request, RequestAction action) {
        RequestSpec spec = request.state().spec();
        if (action instanceof RequestAction.Submit submit) {
            return submit(request, submit);
        }
        if (action instanceof RequestAction.Deliver deliver) {
            return deliver(request, deliver);
        }
        if (action instanceof RequestAction.Probe probe) {
            send(probe.host(), spec.probeMessage(probes.add(spec.requestId(), System.nanoTime())));
        } else if (action instanceof RequestAction.Send sendAction) {
            send(sendAction.host(), sendAction.message());
        } else if (action instanceof RequestAction.Ping ping) {
            send(ping.host(), new Message.Ping(0));
        } else if (action instanceof RequestAction.Suspect suspect) {
            markSuspect(spec, suspect.host());
        } else if (action instanceof RequestAction.RecordPrefixLocation location) {
            recordPrefixLocation(request, location);
        } else if (action instanceof RequestAction.Complete complete) {
            complete(request, complete);
        } else if (action instanceof RequestAction.Fail fail) {
            fail(request, fail.refusal());
        } else if (action instanceof RequestAction.Abandon abandon) {
            abandon(request, abandon.reason());
        } else {
            recordForOperators(spec, action);
        }
        return Optional.empty();
    }

    private void recordForOperators(RequestSpec spec, RequestAction action) {
        if (action instanceof RequestAction.Explain explain) {
            dependencies.records().addAttempt(spec.requestId(), explain.explanation());
        } else if (action instanceof RequestAction.CountRetry retry) {
            dependencies.metrics().recordRetry(retry.reason());
            LogEvent.of("attempt_failed")
                    .with("request", spec.requestId())
                    .with("reason", retry.reason().label())
                    .info();
        } else if (action instanceof RequestAction.CountDroppedFrame droppedFrame) {
            dependencies.metrics().recordDroppedFrame(droppedFrame.placement());
        } else if (action instanceof RequestAction.CountLostProbe) {
            dependencies.metrics().recordLostProbe();
        }
    }

    // -- hosts

    private Optional<RequestEvent> submit(ActiveRequest request, RequestAction.Submit submit) {
        Optional<Link> link = findLink(submit.host()).filter(found -> found.send(submit.message()));
        request.attachLink(link.orElse(null));
        return link.isPresent() ? Optional.empty() : Optional.of(new RequestEvent.SubmitFailed(submit.host()));
    }

    private void send(String host, Message message) {
        findLink(host).ifPresent(link -> link.send(message));
    }

    private Optional<Link> findLink(String host) {
        return dependencies.peers().find(host).map(Peer::link);
    }

    private void markSuspect(RequestSpec spec, String host) {
        dependencies.peers().markSuspect(host);
        LogEvent.of("host_suspect")
                .with("request", spec.requestId())
                .with("host", host)
                .warn();
    }

    private void recordPrefixLocation(ActiveRequest request, RequestAction.RecordPrefixLocation location) {
        RequestSpec spec = request.state().spec();
        int cachedBlocks = location.started().cachedBlocks();
        request.recordCachedBlocks(cachedBlocks);
        // The query only supplies the prompt's shared prefixes, which depend on neither the hint nor the avoided hosts.
        dependencies
                .hints()
                .recordServed(
                        spec.routeQuery(Optional.empty(), Set.of()),
                        location.host(),
                        location.started().backendIncarnation());
        int uncachedBlocks = Math.max(0, spec.chain().size() - cachedBlocks);
        dependencies.metrics().recordBlocks(spec.priorityClass().name(), cachedBlocks, uncachedBlocks);
    }

    // -- the caller

    private Optional<RequestEvent> deliver(ActiveRequest request, RequestAction.Deliver deliver) {
        RequestSpec spec = request.state().spec();
        if (request.markFirstToken()) {
            dependencies
                    .metrics()
                    .recordFirstToken(spec.priorityClass().name(), System.nanoTime() - spec.acceptedNanos());
        }
        request.response().write(deliver.tokens());
        HttpExchange exchange = request.response().exchange();
        boolean newlyBlocked = request.state().blockedSinceNanos().isEmpty() && !exchange.isWritable();
        return newlyBlocked ? Optional.of(new RequestEvent.CallerBlocked()) : Optional.empty();
    }

    private void complete(ActiveRequest request, RequestAction.Complete complete) {
        RequestSpec spec = request.state().spec();
        Message.End end = complete.end();
        request.response()
                .complete(new ResponseSummary(
                        end.finishReason(),
                        end.promptTokens(),
                        end.offset(),
                        end.cachedTokens(),
                        complete.host(),
                        request.state().attemptNumber(),
                        request.cachedBlocks(),
                        spec.chain().size()));
        recordEnd(request, "complete");
    }

    private void fail(ActiveRequest request, Refusal refusal) {
        dependencies.metrics().recordRefusal(refusal.reason());
        request.response().fail(refusal);
        recordEnd(request, refusal.reason().label());
    }

    private void abandon(ActiveRequest request, Reason reason) {
        dependencies.metrics().recordRefusal(reason);
        request.response().exchange().abort();
        recordEnd(request, reason.label());
    }

    private void recordEnd(ActiveRequest request, String outcome) {
        RequestSpec spec = request.state().spec();
        dependencies.records().recordOutcome(spec.requestId(), outcome.toLowerCase(Locale.ROOT));
        LogEvent.of("request_ended")
                .with("request", spec.requestId())
                .with("customer", spec.scope().customer())
                .with("outcome", outcome)
                .with("attempts", request.state().attemptNumber())
                .with("tokens", request.state().assembler().deliveredTokens())
                .info();
    }
}

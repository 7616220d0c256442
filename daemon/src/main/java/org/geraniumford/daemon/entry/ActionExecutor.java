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

/** Carries out what the state machine of a request decides. Owned by one shard. */
final class ActionExecutor {
    private final ModelShard.ShardDependencies dependencies;
    private final PendingProbes probes;

    ActionExecutor(ModelShard.ShardDependencies parts, PendingProbes probes) {
        this.dependencies = parts;
        this.probes = probes;
    }

    // -- queries

    static boolean isRetry(RequestAction action) {
        return action instanceof RequestAction.CountRetry;
    }

    // -- commands

    /** Carries out one action and returns the event that follows from it at once. */
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
        } else if (action instanceof RequestAction.Send sent) {
            send(sent.host(), sent.message());
        } else if (action instanceof RequestAction.Ping ping) {
            send(ping.host(), new Message.Ping(0));
        } else if (action instanceof RequestAction.Suspect suspect) {
            markSuspect(spec, suspect.host());
        } else if (action instanceof RequestAction.RecordPrefixLocation served) {
            recordServed(request, served);
        } else if (action instanceof RequestAction.Complete complete) {
            complete(request, complete);
        } else if (action instanceof RequestAction.Fail fail) {
            fail(request, fail.refusal());
        } else if (action instanceof RequestAction.Abandon abandon) {
            abandon(request, abandon.reason());
        } else {
            record(spec, action);
        }
        return Optional.empty();
    }

    private void record(RequestSpec spec, RequestAction action) {
        if (action instanceof RequestAction.Explain explain) {
            dependencies.records().addAttempt(spec.requestId(), explain.explanation());
        } else if (action instanceof RequestAction.CountRetry retry) {
            dependencies.metrics().recordRetry(retry.reason());
            LogEvent.of("attempt_failed")
                    .with("request", spec.requestId())
                    .with("reason", retry.reason().label())
                    .info();
        } else if (action instanceof RequestAction.CountDroppedFrame drop) {
            dependencies.metrics().recordDroppedFrame(drop.placement());
        } else if (action instanceof RequestAction.CountLostProbe) {
            dependencies.metrics().recordLostProbe();
        }
    }

    // -- hosts

    private Optional<RequestEvent> submit(ActiveRequest request, RequestAction.Submit submit) {
        Optional<Link> link = link(submit.host()).filter(open -> open.send(submit.message()));
        request.attachLink(link.orElse(null));
        return link.isPresent() ? Optional.empty() : Optional.of(new RequestEvent.SubmitFailed(submit.host()));
    }

    private void send(String host, Message message) {
        link(host).ifPresent(link -> link.send(message));
    }

    private Optional<Link> link(String host) {
        return dependencies.peers().find(host).map(Peer::link);
    }

    private void markSuspect(RequestSpec spec, String host) {
        dependencies.peers().markSuspect(host);
        LogEvent.of("host_suspect")
                .with("request", spec.requestId())
                .with("host", host)
                .warn();
    }

    private void recordServed(ActiveRequest request, RequestAction.RecordPrefixLocation served) {
        RequestSpec spec = request.state().spec();
        int cached = served.started().cachedBlocks();
        request.recordCachedBlocks(cached);
        dependencies
                .hints()
                .recordServed(
                        spec.routeQuery(Optional.empty(), Set.of()),
                        served.host(),
                        served.started().backendIncarnation());
        int missed = Math.max(0, spec.chain().size() - cached);
        dependencies.metrics().recordBlocks(spec.priorityClass().name(), cached, missed);
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
        boolean blocked = request.state().blockedSinceNanos().isEmpty() && !exchange.isWritable();
        return blocked ? Optional.of(new RequestEvent.CallerBlocked()) : Optional.empty();
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

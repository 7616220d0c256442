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
final class ActionRunner {
    private final ModelShard.ShardParts parts;
    private final ProbeTable probes;

    ActionRunner(ModelShard.ShardParts parts, ProbeTable probes) {
        this.parts = parts;
        this.probes = probes;
    }

    // -- queries

    static boolean spendsRetry(RequestAction action) {
        return action instanceof RequestAction.Retry;
    }

    // -- commands

    /** Carries out one action and returns the event that follows from it at once. */
    Optional<RequestEvent> run(ActiveRequest request, RequestAction action) {
        RequestSpec spec = request.state().spec();
        if (action instanceof RequestAction.Submit submit) {
            return submit(request, submit);
        }
        if (action instanceof RequestAction.Deliver deliver) {
            return deliver(request, deliver);
        }
        if (action instanceof RequestAction.Probe probe) {
            send(probe.host(), spec.probe(probes.add(spec.requestId(), System.nanoTime())));
        } else if (action instanceof RequestAction.Send sent) {
            send(sent.host(), sent.message());
        } else if (action instanceof RequestAction.Ping ping) {
            send(ping.host(), new Message.Ping(0));
        } else if (action instanceof RequestAction.Suspect suspect) {
            suspect(spec, suspect.host());
        } else if (action instanceof RequestAction.Served served) {
            served(request, served);
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
            parts.records().add(spec.requestId(), explain.explanation());
        } else if (action instanceof RequestAction.Retry retry) {
            parts.metrics().retried(retry.reason());
            LogEvent.of("attempt_failed")
                    .with("request", spec.requestId())
                    .with("reason", retry.reason().label())
                    .info();
        } else if (action instanceof RequestAction.Drop drop) {
            parts.metrics().dropped(drop.placement());
        } else if (action instanceof RequestAction.ProbeLost) {
            parts.metrics().probeLost();
        }
    }

    // -- hosts

    private Optional<RequestEvent> submit(ActiveRequest request, RequestAction.Submit submit) {
        Optional<Link> link = link(submit.host()).filter(open -> open.send(submit.message()));
        request.submittedOn(link.orElse(null));
        return link.isPresent() ? Optional.empty() : Optional.of(new RequestEvent.SubmitFailed(submit.host()));
    }

    private void send(String host, Message message) {
        link(host).ifPresent(link -> link.send(message));
    }

    private Optional<Link> link(String host) {
        return parts.peers().find(host).map(Peer::link);
    }

    private void suspect(RequestSpec spec, String host) {
        parts.peers().suspect(host);
        LogEvent.of("host_suspect")
                .with("request", spec.requestId())
                .with("host", host)
                .warn();
    }

    private void served(ActiveRequest request, RequestAction.Served served) {
        RequestSpec spec = request.state().spec();
        int cached = served.started().cachedPieces();
        request.cached(cached);
        parts.hints()
                .served(
                        spec.query(Optional.empty(), Set.of()),
                        served.host(),
                        served.started().backendIncarnation());
        int missed = Math.max(0, spec.chain().size() - cached);
        parts.metrics().pieces(spec.priorityClass().name(), cached, missed);
    }

    // -- the caller

    private Optional<RequestEvent> deliver(ActiveRequest request, RequestAction.Deliver deliver) {
        RequestSpec spec = request.state().spec();
        if (request.markFirstToken()) {
            parts.metrics().firstToken(spec.priorityClass().name(), System.nanoTime() - spec.acceptedNanos());
        }
        request.answer().tokens(deliver.tokens());
        HttpExchange exchange = request.answer().exchange();
        boolean blocked = request.state().blockedNanos().isEmpty() && !exchange.writable();
        return blocked ? Optional.of(new RequestEvent.CallerBlocked()) : Optional.empty();
    }

    private void complete(ActiveRequest request, RequestAction.Complete complete) {
        RequestSpec spec = request.state().spec();
        Message.End end = complete.end();
        request.answer()
                .complete(new AnswerSummary(
                        end.finishReason(),
                        end.promptTokens(),
                        end.offset(),
                        end.cachedTokens(),
                        complete.host(),
                        request.state().attempt(),
                        request.cachedPieces(),
                        spec.chain().size()));
        ended(request, "complete");
    }

    private void fail(ActiveRequest request, Refusal refusal) {
        parts.metrics().refused(refusal.reason());
        request.answer().fail(refusal);
        ended(request, refusal.reason().label());
    }

    private void abandon(ActiveRequest request, Reason reason) {
        parts.metrics().refused(reason);
        request.answer().exchange().abort();
        ended(request, reason.label());
    }

    private void ended(ActiveRequest request, String outcome) {
        RequestSpec spec = request.state().spec();
        parts.records().end(spec.requestId(), outcome.toLowerCase(Locale.ROOT));
        LogEvent.of("request_ended")
                .with("request", spec.requestId())
                .with("customer", spec.scope().customer())
                .with("outcome", outcome)
                .with("attempts", request.state().attempt())
                .with("tokens", request.state().assembler().delivered())
                .info();
    }
}

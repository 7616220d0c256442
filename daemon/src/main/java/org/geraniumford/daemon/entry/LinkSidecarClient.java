package org.geraniumford.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.AttemptTokenState;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;

/** Calls the sidecars of plain services over the entry's links. Thread-safe. */
final class LinkSidecarClient implements SidecarClient, PeerListener {
    private static final Duration CLOSE_TOKEN_TIMEOUT = Duration.ofSeconds(2);
    /** Added to the call's timeout, because the sidecar waits that long for the service before it refuses the call. */
    private static final Duration CALL_TIMEOUT_GRACE = Duration.ofMillis(250);

    private static final long NANOS_PER_MICRO = 1_000;

    private final PeerTable peers;
    private final String failureDomain;
    private final ConcurrentMap<AttemptId, Pending<Message.CallResponse>> pendingCalls = new ConcurrentHashMap<>();
    private final ConcurrentMap<Long, Pending<AttemptTokenState>> pendingTokenCloses = new ConcurrentHashMap<>();
    private final AtomicLong nextCloseTokenId = new AtomicLong();

    /** A request without a response, and the link that it was sent on. */
    private record Pending<T>(Link link, CompletableFuture<T> completion) {}

    private LinkSidecarClient(PeerTable peers, String failureDomain) {
        this.peers = peers;
        this.failureDomain = failureDomain;
    }

    // -- construction

    static LinkSidecarClient of(PeerTable peers, String failureDomain) {
        return new LinkSidecarClient(peers, failureDomain);
    }

    // -- queries

    @Override
    public List<String> candidates(String service) {
        return peers.serving(service, failureDomain).stream().map(Peer::host).toList();
    }

    // -- commands

    @Override
    public CompletableFuture<Message.CallResponse> call(String host, Message.Call call) {
        Duration timeout =
                Duration.ofNanos(call.timeoutMicros() * NANOS_PER_MICRO).plus(CALL_TIMEOUT_GRACE);
        return sendRequest(pendingCalls, call.id(), host, call, timeout);
    }

    @Override
    public CompletableFuture<AttemptTokenState> closeToken(String host, String attemptToken, long tokenIssuedMicros) {
        long id = nextCloseTokenId.incrementAndGet();
        Message.CloseToken request = new Message.CloseToken(id, attemptToken, tokenIssuedMicros);
        return sendRequest(pendingTokenCloses, id, host, request, CLOSE_TOKEN_TIMEOUT);
    }

    @Override
    public void received(String host, Link link, Envelope envelope) {
        if (envelope.message() instanceof Message.CallResponse response) {
            findPending(pendingCalls, response.id(), link).ifPresent(completion -> completion.complete(response));
        } else if (envelope.message() instanceof Message.Refused refused) {
            findPending(pendingCalls, refused.id(), link)
                    .ifPresent(completion ->
                            completion.completeExceptionally(refused.refusal().toException()));
        } else if (envelope.message() instanceof Message.CloseTokenResponse response) {
            findPending(pendingTokenCloses, response.id(), link)
                    .ifPresent(completion -> completion.complete(response.state()));
        }
    }

    @Override
    public void lost(String host, Link link, boolean broken) {
        Reason reason = broken ? Reason.BROKEN_FRAME : Reason.CONNECTION_LOST;
        Refusal refusal = Refusal.of(reason, Verdict.MAY_HAVE_RUN, "the link to " + host + " was lost");
        failAll(pendingCalls, link, refusal);
        failAll(pendingTokenCloses, link, refusal);
    }

    // -- support

    /**
     * Sends a request and adds it to the pending ones until its response arrives, its link is lost or the timeout has
     * passed.
     */
    private <K, T> CompletableFuture<T> sendRequest(
            ConcurrentMap<K, Pending<T>> pending, K key, String host, Message request, Duration timeout) {
        Optional<Link> link = peers.find(host).map(Peer::link);
        CompletableFuture<T> completion = new CompletableFuture<>();
        link.ifPresent(openLink -> pending.put(key, new Pending<>(openLink, completion)));
        if (link.isEmpty() || !link.get().send(request)) {
            pending.remove(key);
            Refusal refusal = Refusal.notRun(Reason.CONNECT_FAILED, "the link to " + host + " takes nothing");
            completion.completeExceptionally(refusal.toException());
            return completion;
        }
        // If the link ended before the request was added to the map, lost() did not fail the request.
        if (!link.get().isOpen()) {
            lost(host, link.get(), false);
        }
        return completion
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((response, failure) -> pending.remove(key))
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(withTimeoutRefusal(host, failure)));
    }

    /** Replaces a timeout by a refusal and returns any other failure unchanged. */
    private static Throwable withTimeoutRefusal(String host, Throwable failure) {
        return failure instanceof TimeoutException || failure.getCause() instanceof TimeoutException
                ? Refusal.of(Reason.TIMEOUT, Verdict.MAY_HAVE_RUN, "no answer from " + host)
                        .toException()
                : failure;
    }

    /**
     * Finds the pending request of a response; empty if the response came on another link than the request was sent on.
     */
    private static <K, T> Optional<CompletableFuture<T>> findPending(
            ConcurrentMap<K, Pending<T>> pending, K key, Link link) {
        return Optional.ofNullable(pending.get(key))
                .filter(pendingRequest -> pendingRequest.link() == link)
                .map(Pending::completion);
    }

    private static <K, T> void failAll(ConcurrentMap<K, Pending<T>> pending, Link link, Refusal refusal) {
        pending.values().stream()
                .filter(pendingRequest -> pendingRequest.link() == link)
                .forEach(pendingRequest -> pendingRequest.completion().completeExceptionally(refusal.toException()));
    }
}

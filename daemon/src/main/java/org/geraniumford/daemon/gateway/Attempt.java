package org.geraniumford.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.geraniumford.core.fleet.ServerLoad;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.forward.AttemptFailure;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.stream.EventFramer;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.forward.HeldBody;
import org.geraniumford.transport.forward.ResponseFraming;
import org.geraniumford.transport.forward.ResponseListener;
import org.geraniumford.transport.forward.ServerConnection;

/** One attempt of a request at one backend server. Runs on the gateway's network thread. */
final class Attempt implements ResponseListener {
    private final ForwardedRequest request;
    private final ServerState server;
    private final Dispatch dispatch;
    /** The KV memory that the request needs when it ends, in tokens; 0 without a prompt. */
    private final long totalTokens;

    private final long prefillTokens;
    private final AttemptWeights weights;
    private final AttemptPrompt attemptPrompt;
    private final ServerFields serverFields;
    private final SpeedSampler speed;
    private boolean prefilling;

    private ServerConnection connection;
    private ResponseKind kind;
    private HttpResponse head;
    private final BodyCheck bodyCheck;
    private final HeldBody body;
    /** A description of the failure for the log; empty if there is none. */
    private String detail = "";

    private long sentNanos;
    private boolean ended;

    Attempt(ForwardedRequest request, ServerState server, Dispatch dispatch, long prefillTokens) {
        this.attemptPrompt = request.beginPrompt();
        this.speed = SpeedSampler.of(server, request.admitted(), prefillTokens);
        this.prefillTokens = prefillTokens;
        this.request = request;
        this.server = server;
        this.dispatch = dispatch;
        this.bodyCheck = BodyCheck.of(request.gateway().protocol().identifyingFields());
        this.body = request.gateway().responseMemory().newBody(this::handleEviction);
        this.weights = AttemptWeights.of(request.gateway(), request.admitted(), dispatch);
        this.serverFields = ServerFields.of(
                request.gateway(), server, request.admitted().request().id());
        this.totalTokens = request.admitted().totalTokens();
    }

    // -- queries

    ServerState server() {
        return server;
    }

    boolean isSent() {
        return connection != null;
    }

    boolean isSilent(long nowNanos) {
        return isSent()
                && server.reachability().isSilent(sentNanos, nowNanos, server.prefillWait(ServerLoad.LEAST_URGENT));
    }

    String detail() {
        return detail;
    }

    private Optional<PromptSpec> prompt() {
        return request.admitted().request().prompt();
    }

    /** Returns the buffered response, whose body is then no longer released by this attempt. */
    FullHttpResponse takeFullResponse() {
        return request.gateway().protocol().forwardResponse(head, body.take());
    }

    // -- commands

    void start() {
        AttemptLog.start(request.admitted(), server, dispatch, prefillTokens);
        server.recordAttemptStart(totalTokens, prefillTokens, request.admitted().priority());
        request.planner().recordUse(server);
        prefilling = true;
        request.gateway().state().reportLoadAdded();
        request.gateway().pool().acquire(server.server().address(), this::handleConnected, this::handleConnectFailure);
    }

    private void handleConnected(ServerConnection newConnection) {
        if (ended || !request.exchange().isConnected()) {
            newConnection.abort();
            return;
        }
        Duration timeLeft = request.timeLeft();
        Optional<SendObstacle> obstacle =
                SendObstacle.of(timeLeft, weights.maySend(), server.pause().lasts(System.nanoTime()));
        if (obstacle.isPresent()) {
            newConnection.abort();
            detail = obstacle.get().detail();
            endWithFailure(new AttemptFailure.Unreachable(), obstacle.get().reason());
            return;
        }
        connection = newConnection;
        sentNanos = System.nanoTime();
        newConnection.send(request.gateway().encode(request.exchange(), dispatch.withTimeLeft(timeLeft)), this);
    }

    /** Ends this attempt at a silent server, and suspends the server for other requests for a while. */
    void abandon(long nowNanos) {
        server.reachability().recordUnreachable(nowNanos);
        request.gateway().pool().closeIdle(server.server().address());
        connection.abort();
        failed("silent");
    }

    /** Ends this attempt if the request has not begun and may no longer begin on the engine's weights. */
    void withdrawIfOutdated() {
        if (isSent() && !ended && prefilling && !weights.mayBegin()) {
            connection.abort();
            detail = "not begun before the weights became too old";
            endWithFailure(new AttemptFailure.Withdrawn(), Reason.WRONG_WEIGHTS);
        }
    }

    private void handleConnectFailure(Throwable cause) {
        if (ended) {
            return;
        }
        detail = String.valueOf(cause.getMessage());
        server.recordFailure();
        server.reachability().recordUnreachable(System.nanoTime());
        request.gateway().pool().closeIdle(server.server().address());
        endWithFailure(new AttemptFailure.Unreachable(), Reason.CONNECT_FAILED);
    }

    /** Resumes or pauses reading from the server, to match the pace of the caller. */
    void setReading(boolean enabled) {
        if (connection != null) {
            connection.setAutoRead(enabled);
        }
    }

    /** Ends this attempt without recording a failure, because its response is no longer needed. */
    void abort() {
        if (!ended) {
            markEnded();
            body.release();
            if (connection != null) {
                connection.abort();
            }
        }
    }

    // -- response

    @Override
    public boolean accepts(HttpResponse response) {
        server.reachability().recordActivity(System.nanoTime());
        return request.gateway()
                        .protocol()
                        .classify(response, request.admitted().request().id())
                != ResponseKind.OTHER_REQUEST;
    }

    @Override
    public void head(HttpResponse response) {
        head = response;
        kind = request.gateway()
                .protocol()
                .classify(response, request.admitted().request().id());
        if (kind.isRefusal()) {
            checkRefusal();
        } else if (kind == ResponseKind.FORWARDABLE && !request.stream().mayContinueWith(response)) {
            kind = ResponseKind.ERROR;
            detail = response.status().code() + " in place of the rest of the stream";
        }
        serverFields.applyFinal(response, kind);
        if (kind.isDoubtful()) {
            breakOff(kind.name().toLowerCase(Locale.ROOT) + " answer "
                    + response.status().code());
        } else if (kind == ResponseKind.FORWARDABLE) {
            recordWeightsVersion();
        }
    }

    /** Distrusts a refusal that may be a copy of an earlier one: the server may be running this request. */
    private void checkRefusal() {
        Optional<String> namedId = request.gateway().protocol().responseId(head);
        if (connection
                .refusals()
                .isCredible(namedId, request.admitted().request().id())) {
            connection.recordRefusal(namedId);
            detail = head.status().code() + (namedId.isPresent() ? "" : ", names no request");
        } else {
            kind = ResponseKind.UNTRUSTED;
        }
    }

    @Override
    public void interim(HttpResponse response) {
        serverFields.applyInterim(response);
    }

    private void recordWeightsVersion() {
        prompt().ifPresent(prompt -> request.gateway()
                .protocol()
                .weightsVersion(head)
                .ifPresent(version -> {
                    weights.applyResponse(version);
                    server.recordWeightsVersion(prompt.model(), version);
                }));
    }

    @Override
    public void content(ByteBuf chunk) {
        if (ended) {
            return;
        }
        Optional<String> fault = bodyCheck.feed(chunk, isStreamResponse());
        if (fault.isPresent()) {
            breakOff(fault.get());
        } else if (isStreamResponse()) {
            server.reachability().recordActivity(System.nanoTime());
            recordBegin();
            if (request.forwardStreamChunk(head, chunk)) {
                attemptPrompt.recordWholeEvent();
                speed.recordEvents(sentNanos, System.nanoTime());
            }
            checkEventSize();
        } else {
            recordPrefillEnd();
            speed.recordBody(chunk.readableBytes());
            body.append(chunk);
        }
    }

    @Override
    public Duration silenceBeforeEnd() {
        return ended ? Duration.ZERO : bodyCheck.silenceBeforeEnd(head);
    }

    @Override
    public void surplus(ByteBuf bytes) {
        if (!ended) {
            bodyCheck.feedSurplus(head, bytes).ifPresent(this::breakOff);
        }
    }

    private void recordBegin() {
        if (prefilling) {
            weights.recordBegin(server.server().id(), sentNanos);
            request.planner().recordSavedSegments(dispatch);
            recordPrefillEnd();
        }
    }

    private void checkEventSize() {
        if (request.stream().hasOversizedEvent()) {
            breakOff("an event exceeds " + EventFramer.MAX_EVENT_BYTES + " bytes");
        }
    }

    /** Ends this attempt, because of all responses that are held its own is the largest and they are too large. */
    private void handleEviction() {
        breakOff("evicted: the responses that are held are too large together");
    }

    /** Ends this attempt because of what its response holds. The request may have run. */
    private void breakOff(String reason) {
        connection.abort();
        failed(reason);
    }

    private boolean isStreamResponse() {
        return kind == ResponseKind.FORWARDABLE
                && request.isStreaming()
                && head.status().code() == 200;
    }

    @Override
    public void end() {
        if (ended) {
            return;
        }
        switch (kind) {
            case NOT_RUN -> handleRejection(Reason.QUEUE_FULL);
            case MISDIRECTED -> {
                handleMisdirected();
                handleRejection(Reason.WRONG_WEIGHTS);
            }
            case ERROR -> {
                server.recordFailure();
                endWithFailure(new AttemptFailure.ErrorAnswer(), Reason.BACKEND_FAILED);
            }
            default -> complete();
        }
    }

    /**
     * Corrects the estimated weights of the server, which has other weights loaded than estimated or has been replaced
     * by another server at its address.
     */
    private void handleMisdirected() {
        prompt().ifPresent(prompt -> dispatch.engine()
                .map(EngineDispatch::weightsVersion)
                .filter(OptionalInt::isPresent)
                .ifPresent(expectedVersion ->
                        server.invalidateWeightsVersion(prompt.model(), expectedVersion.getAsInt())));
        recordWeightsVersion();
    }

    private void handleRejection(Reason reason) {
        if (reason == Reason.QUEUE_FULL && prompt().isPresent()) {
            server.recordFull(totalTokens, request.admitted().priority(), System.nanoTime());
        } else {
            server.reachability().recordRejection(System.nanoTime());
        }
        endWithFailure(new AttemptFailure.TurnedAway(), reason);
    }

    private void complete() {
        ResponseFraming framing = ResponseFraming.of(head);
        boolean withinEvent = isStreamResponse() && request.stream().isWithinEvent();
        AttemptLog.responseEnd(request.admitted(), server, head, framing, withinEvent);
        if (isStreamResponse() && !request.stream().isCompleteAtEnd(framing.isEndMarked())) {
            closed("the stream ends early");
            return;
        }
        boolean ranPrompt = head.status().code() == 200;
        if (!isStreamResponse() && (ranPrompt || prompt().isEmpty())) {
            attemptPrompt.recordWholeEvent();
        }
        markEnded();
        server.recordSuccess();
        speed.recordEnd(head.status().code(), sentNanos, System.nanoTime());
        if (isStreamResponse()) {
            request.completeStream(head);
        } else {
            request.forwardResponse(takeFullResponse());
        }
    }

    @Override
    public void closed(String reason) {
        if (!ended) {
            attemptPrompt.recordClosed(server.server(), sentNanos);
        }
        failed(reason);
    }

    @Override
    public void failed(String reason) {
        if (ended) {
            return;
        }
        detail = reason;
        server.recordFailure();
        endWithFailure(new AttemptFailure.Broken(), Reason.CONNECTION_LOST);
    }

    private void endWithFailure(AttemptFailure failure, Reason reason) {
        markEnded();
        request.handleAttemptEnd(this, failure, reason);
        body.release();
    }

    private void recordPrefillEnd() {
        if (prefilling) {
            prefilling = false;
            server.recordPrefilled(prefillTokens, request.admitted().priority());
        }
    }

    /** Marks this attempt as ended and subtracts its load from the server's. */
    private void markEnded() {
        ended = true;
        attemptPrompt.release();
        recordPrefillEnd();
        server.recordEnded(totalTokens, request.admitted().priority());
    }
}

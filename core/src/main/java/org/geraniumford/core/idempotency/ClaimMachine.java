package org.geraniumford.core.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.geraniumford.core.idempotency.ClaimProgress.Stage;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.store.StoreResponse;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TableRow;
import org.geraniumford.core.store.TransactionResult;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptTokenState;

/**
 * The state machine that makes a call that is not idempotent run at most once. A claim row with a unique token is
 * written before the call is sent with that token. The claim of another attempt is replaced only after the sidecar has
 * confirmed that a call with its token has not run and will not run. Immutable.
 */
public final class ClaimMachine {
    /** The maximum number of attempts for one call, each with a new token. */
    public static final int MAX_ATTEMPTS = 3;

    /** The maximum number of attempts to record a response in the store, after which it remains unrecorded. */
    public static final int MAX_RECORD_ATTEMPTS = 6;

    /** The retry-after of a refusal for a call whose outcome is not known. */
    public static final Duration IN_PROGRESS_RETRY_AFTER = Duration.ofSeconds(1);

    private static final int MAX_CLAIM_WRITE_RETRIES = 4;

    /** Doubled before every retry, including the first, which therefore waits for 200 ms. */
    private static final long BASE_RECORD_BACKOFF_MICROS = 100_000;

    private final Request request;
    private final ClaimProgress progress;

    private ClaimMachine(Request request, ClaimProgress progress) {
        this.request = request;
        this.progress = progress;
    }

    /**
     * A call that must run at most once.
     *
     * @param row the name of the claim's row
     * @param digest the digest of the request
     * @param tokenPrefix the prefix of this call's tokens, unique across all calls and processes
     * @param hosts the hosts to which the call can be sent, best first, at least one
     */
    public record Request(String row, String digest, String tokenPrefix, List<String> hosts) {
        /** Checks the components and copies the list. */
        public Request {
            requireNonNull(row, "row is null");
            requireNonNull(digest, "digest is null");
            requireNonNull(tokenPrefix, "tokenPrefix is null");
            hosts = List.copyOf(hosts);
            if (hosts.isEmpty()) {
                throw new IllegalArgumentException("hosts is empty");
            }
        }

        /** Returns the claim of an attempt, numbered from 1; the attempts go through the hosts in turn. */
        private Claim claim(int attempt, long nowMicros) {
            String host = hosts.get((attempt - 1) % hosts.size());
            return Claim.open(digest, tokenPrefix + "/" + attempt, nowMicros, host);
        }
    }

    /**
     * A state and the actions to perform in it.
     *
     * @param next the state
     * @param actions the actions, in order
     */
    public record Step(ClaimMachine next, List<ClaimAction> actions) {
        /** Copies the list. */
        public Step {
            actions = List.copyOf(actions);
        }
    }

    // -- construction

    /**
     * Starts a call.
     *
     * @param request the call
     * @param nowMicros the current time, in microseconds since the epoch
     * @return the initial state and its actions
     */
    public static Step start(Request request, long nowMicros) {
        requireNonNull(request, "request is null");
        ClaimProgress first = ClaimProgress.first(request.claim(1, nowMicros));
        return new ClaimMachine(request, first).writeClaim(first);
    }

    // -- queries

    /**
     * Returns whether the call has ended.
     *
     * @return true once the caller has a response or refusal and no actions follow those already returned
     */
    public boolean isEnded() {
        return progress.stage() == Stage.ENDED;
    }

    /**
     * Returns the state and the actions that follow from an event.
     *
     * @param event the outcome of the last action
     * @param nowMicros the current time, in microseconds since the epoch
     * @return the next state and its actions
     */
    public Step apply(ClaimEvent event, long nowMicros) {
        return switch (progress.stage()) {
            case WRITING_CLAIM -> handleClaimWritten(((ClaimEvent.StoreResponseReceived) event).response());
            case READING_BACK -> handleClaimRead(((ClaimEvent.StoreResponseReceived) event).response());
            case CALLING -> handleCallResult(event, nowMicros);
            case CLOSING_OWN_TOKEN -> handleOwnTokenClosed(event, nowMicros);
            case CLOSING_OTHER_TOKEN -> handleOtherTokenClosed(event);
            case READING_OTHER_CLAIM -> handleOtherClaimRead(((ClaimEvent.StoreResponseReceived) event).response());
            case RECORDING_RESPONSE -> handleResponseRecorded(((ClaimEvent.StoreResponseReceived) event).response());
            case ENDED -> step(progress);
        };
    }

    // -- writing the claim

    private Step writeClaim(ClaimProgress next) {
        return sendStoreRequest(
                next.withStage(Stage.WRITING_CLAIM),
                new StoreRequest.Transact(List.of(TableOperation.replace(
                        Claim.TABLE, request.row(), next.version(), next.claim().encode()))));
    }

    private Step handleClaimWritten(StoreResponse response) {
        if (response instanceof StoreResponse.Failed failed) {
            return failed.refusal().verdict() == Verdict.NOT_RUN
                    ? refuse(storeUnavailable(failed.refusal()))
                    : readClaim(Stage.READING_BACK);
        }
        TransactionResult result = ((StoreResponse.Transaction) response).result();
        if (result instanceof TransactionResult.Committed committed) {
            return sendCall(committed.versions().get(0));
        }
        TransactionResult.Conflict conflict =
                ((TransactionResult.Conflicted) result).conflicts().get(0);
        return resolveRow(conflict.version(), conflict.value());
    }

    private Step handleClaimRead(StoreResponse response) {
        if (response instanceof StoreResponse.Failed failed) {
            return refuse(storeUnavailable(failed.refusal()));
        }
        Optional<TableRow> row = ((StoreResponse.Row) response).row();
        long version = row.map(TableRow::version).orElse(0L);
        return resolveRow(version, row.map(TableRow::value));
    }

    /**
     * Determines the next step from the row's content, given that this attempt's token has never been sent. If the row
     * does not exist or still has the expected version, the claim was not written, and the write is retried.
     */
    private Step resolveRow(long version, Optional<String> value) {
        if (progress.writeRetries() >= MAX_CLAIM_WRITE_RETRIES) {
            return refuse(inProgress("the claim changes too often"));
        } else if (value.isEmpty() || version == progress.version()) {
            return writeClaim(progress.withVersion(version).withNextWriteRetry());
        }
        Optional<Claim> currentClaim = value.flatMap(Claim::decode);
        return currentClaim
                .map(claim -> claim.token().equals(progress.claim().token())
                        ? sendCall(version)
                        : resolveOtherClaim(claim, version))
                .orElseGet(() -> refuse(inProgress("the claim cannot be read")));
    }

    private Step resolveOtherClaim(Claim other, long version) {
        if (!other.requestDigest().equals(request.digest())) {
            return refuse(Refusal.notRun(Reason.IDEMPOTENCY_CONFLICT, "the idempotency key was used for another call"));
        } else if (other.outcome() == Claim.Outcome.DONE) {
            return replay(other);
        }
        return step(
                progress.withVersion(version).withStage(Stage.CLOSING_OTHER_TOKEN),
                new ClaimAction.CloseToken(other.host(), other.token(), other.issuedMicros()));
    }

    private Step handleOtherTokenClosed(ClaimEvent event) {
        return isTokenClosed(event)
                ? writeClaim(progress.withNextWriteRetry())
                : refuse(inProgress("another attempt with this idempotency key may have run"));
    }

    // -- the call

    private Step sendCall(long version) {
        Claim claim = progress.claim();
        return step(
                progress.withVersion(version).withStage(Stage.CALLING),
                new ClaimAction.SendCall(claim.host(), progress.attempt(), claim.token(), claim.issuedMicros()));
    }

    private Step handleCallResult(ClaimEvent event, long nowMicros) {
        if (event instanceof ClaimEvent.CallResponseReceived received) {
            return respond(received.response());
        }
        Refusal refusal = ((ClaimEvent.CallFailed) event).refusal();
        if (refusal.reason() == Reason.TOKEN_CLOSED) {
            // Another attempt has closed this token in order to replace the claim.
            return readClaim(Stage.READING_OTHER_CLAIM);
        } else if (refusal.verdict() == Verdict.NOT_RUN) {
            return retryCall(refusal, nowMicros);
        }
        Claim claim = progress.claim();
        return step(
                progress.withFailure(refusal).withStage(Stage.CLOSING_OWN_TOKEN),
                new ClaimAction.CloseToken(claim.host(), claim.token(), claim.issuedMicros()));
    }

    private Step handleOwnTokenClosed(ClaimEvent event, long nowMicros) {
        Refusal refusal = progress.failure().orElseThrow();
        return isTokenClosed(event)
                ? retryCall(refusal.withVerdict(Verdict.NOT_RUN), nowMicros)
                : refuse(refusal.withVerdict(Verdict.MAY_HAVE_RUN));
    }

    /** Starts another attempt after one that is known not to have run. */
    private Step retryCall(Refusal refusal, long nowMicros) {
        int attempt = progress.attempt() + 1;
        if (attempt > MAX_ATTEMPTS) {
            return releaseClaim(refusal);
        }
        return writeClaim(progress.withNextAttempt(request.claim(attempt, nowMicros)));
    }

    /** Refuses the call and deletes the claim, so that the next call with this key finds no claim. */
    private Step releaseClaim(Refusal refusal) {
        StoreRequest delete = new StoreRequest.Transact(
                List.of(TableOperation.delete(Claim.TABLE, request.row(), progress.version())));
        return step(
                progress.withStage(Stage.ENDED),
                new ClaimAction.Refuse(refusal),
                new ClaimAction.SendStoreRequest(delete, 0));
    }

    private Step handleOtherClaimRead(StoreResponse response) {
        Optional<Claim> currentClaim = response instanceof StoreResponse.Row row
                ? row.row().map(TableRow::value).flatMap(Claim::decode)
                : Optional.empty();
        return currentClaim
                .filter(claim -> claim.outcome() == Claim.Outcome.DONE)
                .filter(claim -> claim.requestDigest().equals(request.digest()))
                .map(this::replay)
                .orElseGet(() -> refuse(inProgress("another entry took this call over")));
    }

    // -- the response

    private Step respond(CallResponse response) {
        ClaimProgress recording = progress.withResponse(response);
        return step(recording, new ClaimAction.Respond(response), recordAction(recording, 0));
    }

    private Step handleResponseRecorded(StoreResponse response) {
        if (response instanceof StoreResponse.Failed) {
            return retryRecord(progress);
        }
        TransactionResult result = ((StoreResponse.Transaction) response).result();
        return result instanceof TransactionResult.Conflicted conflicted
                ? handleRecordConflict(conflicted.conflicts().get(0))
                : step(progress.withStage(Stage.ENDED));
    }

    private Step handleRecordConflict(TransactionResult.Conflict conflict) {
        boolean isOwnClaimOpen = conflict.value()
                .flatMap(Claim::decode)
                .filter(claim -> claim.token().equals(progress.claim().token()))
                .filter(claim -> claim.outcome() == Claim.Outcome.OPEN)
                .isPresent();
        return isOwnClaimOpen
                ? retryRecord(progress.withVersion(conflict.version()))
                : step(progress.withStage(Stage.ENDED));
    }

    private Step retryRecord(ClaimProgress next) {
        int attempts = progress.writeRetries() + 1;
        return attempts < MAX_RECORD_ATTEMPTS
                ? step(next.withNextWriteRetry(), recordAction(next, BASE_RECORD_BACKOFF_MICROS << attempts))
                : step(next.withStage(Stage.ENDED));
    }

    private ClaimAction recordAction(ClaimProgress recording, long delayMicros) {
        return new ClaimAction.SendStoreRequest(
                new StoreRequest.Transact(List.of(TableOperation.replace(
                        Claim.TABLE,
                        request.row(),
                        recording.version(),
                        recording.claim().encode()))),
                delayMicros);
    }

    private Step replay(Claim done) {
        return done.response()
                .map(response -> step(progress.withStage(Stage.ENDED), new ClaimAction.Respond(response)))
                .orElseGet(() -> refuse(Refusal.of(
                        Reason.TOKEN_USED, Verdict.RAN, "the call ran, and its answer was too large to keep")));
    }

    // -- helpers

    private static boolean isTokenClosed(ClaimEvent event) {
        return event instanceof ClaimEvent.TokenStateReceived received && received.state() == AttemptTokenState.CLOSED;
    }

    private static Refusal storeUnavailable(Refusal cause) {
        return Refusal.notRun(Reason.STORE_UNAVAILABLE, "the claim could not be written: " + cause.detail())
                .withRetryAfter(cause.retryAfter());
    }

    private static Refusal inProgress(String detail) {
        return Refusal.of(Reason.CALL_IN_PROGRESS, Verdict.MAY_HAVE_RUN, detail)
                .withRetryAfter(IN_PROGRESS_RETRY_AFTER);
    }

    private Step refuse(Refusal refusal) {
        return step(progress.withStage(Stage.ENDED), new ClaimAction.Refuse(refusal));
    }

    private Step readClaim(Stage stage) {
        return sendStoreRequest(progress.withStage(stage), new StoreRequest.ReadRow(Claim.TABLE, request.row()));
    }

    private Step sendStoreRequest(ClaimProgress next, StoreRequest storeRequest) {
        return step(next, new ClaimAction.SendStoreRequest(storeRequest, 0));
    }

    private Step step(ClaimProgress next, ClaimAction... actions) {
        return new Step(new ClaimMachine(request, next), List.of(actions));
    }
}

package org.geraniumford.core.ledger;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.geraniumford.core.store.StoreReply;
import org.geraniumford.core.store.StoreRequest;
import org.geraniumford.core.store.TableOperation;
import org.geraniumford.core.store.TableRow;
import org.geraniumford.core.store.TransactionResult;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.TokenState;

/**
 * Decides how one call that is not idempotent runs at most once. A claim row with a unique token is written before the
 * token is sent. Another's claim is replaced only once its sidecar has proved that the token never ran. Immutable.
 */
public final class ClaimMachine {
    /** How often one call is sent, each time with a new token. */
    public static final int MAX_ATTEMPTS = 3;

    /** How often an answer is offered to the store before it stays unrecorded. */
    public static final int MAX_RECORD_TRIES = 6;

    /** When to ask again for a call whose outcome is not known. */
    public static final Duration IN_PROGRESS_RETRY_AFTER = Duration.ofSeconds(1);

    private static final int MAX_ROUNDS = 4;
    private static final long FIRST_RECORD_WAIT_MICROS = 100_000;

    private final Request request;
    private final State state;

    private ClaimMachine(Request request, State state) {
        this.request = request;
        this.state = state;
    }

    /**
     * The call.
     *
     * @param row the claim's row
     * @param digest identifies the request
     * @param tokenPrefix makes the tokens of this call unique across all calls and processes
     * @param hosts the hosts that can take the call, best first, at least one
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
    }

    /**
     * A state and what to do in it.
     *
     * @param next the state
     * @param actions what to do, in order
     */
    public record Step(ClaimMachine next, List<ClaimAction> actions) {
        /** Copies the list. */
        public Step {
            actions = List.copyOf(actions);
        }
    }

    private enum Stage {
        WRITING,
        READING_BACK,
        CALLING,
        CLOSING_OWN,
        CLOSING_OTHER,
        YIELDING,
        RECORDING,
        ENDED
    }

    /** The claim is the own one; the version is that of the row that it is in or replaces. */
    private record State(Stage stage, Claim claim, long version, int attempt, int rounds, Optional<Refusal> failure) {
        State at(Stage next) {
            return new State(next, claim, version, attempt, rounds, failure);
        }

        State over(long rowVersion) {
            return new State(stage, claim, rowVersion, attempt, rounds, failure);
        }

        State nextRound() {
            return new State(stage, claim, version, attempt, rounds + 1, failure);
        }

        State failedWith(Refusal refusal) {
            return new State(stage, claim, version, attempt, rounds, Optional.of(refusal));
        }
    }

    // -- construction

    /**
     * Starts a call.
     *
     * @param request the call
     * @param nowMicros the time in microseconds since the epoch
     * @return the first state and actions
     */
    public static Step start(Request request, long nowMicros) {
        requireNonNull(request, "request is null");
        State first = new State(Stage.WRITING, claim(request, 1, nowMicros), 0, 1, 0, Optional.empty());
        return new ClaimMachine(request, first).write(first);
    }

    private static Claim claim(Request request, int attempt, long nowMicros) {
        String host = request.hosts().get((attempt - 1) % request.hosts().size());
        return Claim.open(request.digest(), request.tokenPrefix() + "/" + attempt, nowMicros, host);
    }

    // -- queries

    /**
     * Says whether nothing is left to do.
     *
     * @return true once the caller has its answer and the claim is written as well as it could be
     */
    public boolean ended() {
        return state.stage() == Stage.ENDED;
    }

    /**
     * Decides what follows from an event.
     *
     * @param event the outcome of the last action
     * @param nowMicros the time in microseconds since the epoch
     * @return the next state and actions
     */
    public Step apply(ClaimEvent event, long nowMicros) {
        return switch (state.stage()) {
            case WRITING -> written(((ClaimEvent.StoreAnswered) event).reply());
            case READING_BACK -> readBack(((ClaimEvent.StoreAnswered) event).reply());
            case CALLING -> called(event, nowMicros);
            case CLOSING_OWN -> closedOwn(event, nowMicros);
            case CLOSING_OTHER -> closedOther(event);
            case YIELDING -> yielded(((ClaimEvent.StoreAnswered) event).reply());
            case RECORDING -> recorded(((ClaimEvent.StoreAnswered) event).reply());
            case ENDED -> step(state);
        };
    }

    // -- writing the claim

    private Step write(State next) {
        return ask(
                next.at(Stage.WRITING),
                new StoreRequest.Transact(List.of(TableOperation.replace(
                        Claim.TABLE, request.row(), next.version(), next.claim().encode()))));
    }

    private Step written(StoreReply reply) {
        if (reply instanceof StoreReply.Failed failed) {
            return failed.refusal().verdict() == Verdict.NOT_RUN
                    ? refuse(storeUnavailable(failed.refusal()))
                    : read(Stage.READING_BACK);
        }
        TransactionResult result = ((StoreReply.Transaction) reply).result();
        if (result instanceof TransactionResult.Committed committed) {
            return send(committed.versions().get(0));
        }
        TransactionResult.Conflict conflict =
                ((TransactionResult.Conflicted) result).conflicts().get(0);
        return found(conflict.version(), conflict.value());
    }

    private Step readBack(StoreReply reply) {
        if (reply instanceof StoreReply.Failed failed) {
            return refuse(storeUnavailable(failed.refusal()));
        }
        Optional<TableRow> row = ((StoreReply.Row) reply).row();
        long version = row.map(TableRow::version).orElse(0L);
        return found(version, row.map(TableRow::value));
    }

    /** Goes on from what the row holds, given that this call's token was never sent. */
    private Step found(long version, Optional<String> value) {
        if (state.rounds() >= MAX_ROUNDS) {
            return refuse(inProgress("the claim changes too often"));
        } else if (value.isEmpty() || version == state.version()) {
            return write(state.over(version).nextRound());
        }
        Optional<Claim> present = value.flatMap(Claim::decode);
        return present.map(
                        claim -> claim.token().equals(state.claim().token()) ? send(version) : examine(claim, version))
                .orElseGet(() -> refuse(inProgress("the claim cannot be read")));
    }

    private Step examine(Claim other, long version) {
        if (!other.requestDigest().equals(request.digest())) {
            return refuse(Refusal.notRun(Reason.IDEMPOTENCY_CONFLICT, "the idempotency key was used for another call"));
        } else if (other.outcome() == Claim.Outcome.DONE) {
            return replay(other);
        }
        return step(
                state.over(version).at(Stage.CLOSING_OTHER),
                new ClaimAction.CloseToken(other.host(), other.token(), other.issuedMicros()));
    }

    private Step closedOther(ClaimEvent event) {
        return closed(event)
                ? write(state.nextRound())
                : refuse(inProgress("another attempt with this idempotency key may have run"));
    }

    // -- the call

    private Step send(long version) {
        Claim claim = state.claim();
        return step(
                state.over(version).at(Stage.CALLING),
                new ClaimAction.Send(claim.host(), state.attempt(), claim.token(), claim.issuedMicros()));
    }

    private Step called(ClaimEvent event, long nowMicros) {
        if (event instanceof ClaimEvent.CallAnswered answered) {
            return answer(answered.answer());
        }
        Refusal refusal = ((ClaimEvent.CallFailed) event).refusal();
        if (refusal.reason() == Reason.TOKEN_CLOSED) {
            return read(Stage.YIELDING);
        } else if (refusal.verdict() == Verdict.NOT_RUN) {
            return again(refusal, nowMicros);
        }
        Claim claim = state.claim();
        return step(
                state.failedWith(refusal).at(Stage.CLOSING_OWN),
                new ClaimAction.CloseToken(claim.host(), claim.token(), claim.issuedMicros()));
    }

    private Step closedOwn(ClaimEvent event, long nowMicros) {
        Refusal refusal = state.failure().orElseThrow();
        return closed(event)
                ? again(refusal.withVerdict(Verdict.NOT_RUN), nowMicros)
                : refuse(refusal.withVerdict(Verdict.MAY_HAVE_RUN));
    }

    /** Makes another attempt after one that certainly did not run. */
    private Step again(Refusal refusal, long nowMicros) {
        int attempt = state.attempt() + 1;
        if (attempt > MAX_ATTEMPTS) {
            return release(refusal);
        }
        return write(new State(
                Stage.WRITING,
                claim(request, attempt, nowMicros),
                state.version(),
                attempt,
                state.rounds(),
                Optional.empty()));
    }

    /** Refuses the caller and removes the claim, so that the next call with this key finds none. */
    private Step release(Refusal refusal) {
        StoreRequest delete =
                new StoreRequest.Transact(List.of(TableOperation.delete(Claim.TABLE, request.row(), state.version())));
        return step(state.at(Stage.ENDED), new ClaimAction.Refuse(refusal), new ClaimAction.Ask(delete, 0));
    }

    private Step yielded(StoreReply reply) {
        Optional<Claim> present = reply instanceof StoreReply.Row row
                ? row.row().map(TableRow::value).flatMap(Claim::decode)
                : Optional.empty();
        return present.filter(claim -> claim.outcome() == Claim.Outcome.DONE)
                .filter(claim -> claim.requestDigest().equals(request.digest()))
                .map(this::replay)
                .orElseGet(() -> refuse(inProgress("another entry took this call over")));
    }

    // -- the answer

    private Step answer(CallAnswer answer) {
        State recording = new State(
                Stage.RECORDING, state.claim().done(answer), state.version(), state.attempt(), 0, Optional.empty());
        return step(recording, new ClaimAction.Answer(answer), record(recording, 0));
    }

    private Step recorded(StoreReply reply) {
        if (reply instanceof StoreReply.Failed) {
            return recordAgain(state);
        }
        TransactionResult result = ((StoreReply.Transaction) reply).result();
        return result instanceof TransactionResult.Conflicted conflicted
                ? recordOver(conflicted.conflicts().get(0))
                : step(state.at(Stage.ENDED));
    }

    private Step recordOver(TransactionResult.Conflict conflict) {
        boolean open = conflict.value()
                .flatMap(Claim::decode)
                .filter(claim -> claim.token().equals(state.claim().token()))
                .filter(claim -> claim.outcome() == Claim.Outcome.OPEN)
                .isPresent();
        return open ? recordAgain(state.over(conflict.version())) : step(state.at(Stage.ENDED));
    }

    private Step recordAgain(State next) {
        int tries = state.rounds() + 1;
        return tries < MAX_RECORD_TRIES
                ? step(next.nextRound(), record(next, FIRST_RECORD_WAIT_MICROS << tries))
                : step(next.at(Stage.ENDED));
    }

    private ClaimAction record(State recording, long delayMicros) {
        return new ClaimAction.Ask(
                new StoreRequest.Transact(List.of(TableOperation.replace(
                        Claim.TABLE,
                        request.row(),
                        recording.version(),
                        recording.claim().encode()))),
                delayMicros);
    }

    private Step replay(Claim done) {
        return done.answer()
                .map(answer -> step(state.at(Stage.ENDED), new ClaimAction.Answer(answer)))
                .orElseGet(() -> refuse(Refusal.of(
                        Reason.TOKEN_USED, Verdict.RAN, "the call ran, and its answer was too large to keep")));
    }

    // -- parts

    private static boolean closed(ClaimEvent event) {
        return event instanceof ClaimEvent.TokenAnswered answered && answered.state() == TokenState.CLOSED;
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
        return step(state.at(Stage.ENDED), new ClaimAction.Refuse(refusal));
    }

    private Step read(Stage stage) {
        return ask(state.at(stage), new StoreRequest.ReadRow(Claim.TABLE, request.row()));
    }

    private Step ask(State next, StoreRequest question) {
        return step(next, new ClaimAction.Ask(question, 0));
    }

    private Step step(State next, ClaimAction... actions) {
        return new Step(new ClaimMachine(request, next), List.of(actions));
    }
}

package org.geraniumford.core.ledger;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumford.core.store.FaultyStore;
import org.geraniumford.core.store.StoreReply;
import org.geraniumford.core.tokens.TokenRegister;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;

/** A store, two sidecars before one plain service, and the entries' calls with one idempotency key. */
final class ClaimWorld {
    static final List<String> HOSTS = List.of("service-1", "service-2");

    private final FaultyStore store = new FaultyStore();
    private final Map<String, TokenRegister> sidecars = new HashMap<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private final List<String> executedTokens = new ArrayList<>();
    private long nowMicros = 1_000;

    ClaimWorld() {
        HOSTS.forEach(this::restart);
    }

    /** What happens to one exchange with the store or with a sidecar. */
    enum Fault {
        NONE(FaultyStore.Fault.NONE),
        REFUSED(FaultyStore.Fault.OUTAGE),
        CUT_BEFORE(FaultyStore.Fault.CUT_BEFORE),
        REPLY_LOST(FaultyStore.Fault.REPLY_LOST),
        DELAYED(FaultyStore.Fault.DELAYED),
        SIDECARS_RESTART(FaultyStore.Fault.NONE);

        private final FaultyStore.Fault ofStore;

        Fault(FaultyStore.Fault ofStore) {
            this.ofStore = ofStore;
        }
    }

    // -- commands

    void restart(String host) {
        sidecars.put(host, TokenRegister.start(nowMicros + 1, Duration.ZERO, 100));
        nowMicros += 10;
    }

    void deliverDelayed() {
        store.deliverDelayed();
        List<Runnable> arrived = List.copyOf(delayed);
        delayed.clear();
        arrived.forEach(Runnable::run);
    }

    /** Starts the call of one entry. */
    Entry entry(String name, String digest) {
        return new Entry(name, digest);
    }

    // -- queries

    int executions() {
        return executedTokens.size();
    }

    long executionsOf(Entry entry) {
        return executedTokens.stream()
                .filter(token -> token.startsWith(entry.name + "/"))
                .count();
    }

    /** One entry's machine and the actions that it still has to perform. */
    final class Entry {
        private final String name;
        private final Deque<ClaimAction> actions = new ArrayDeque<>();
        private final List<ClaimAction> told = new ArrayList<>();
        private ClaimMachine machine;

        private Entry(String name, String digest) {
            this.name = name;
            take(ClaimMachine.start(new ClaimMachine.Request("row", digest, name, HOSTS), nowMicros));
        }

        boolean running() {
            return !actions.isEmpty();
        }

        /** What the caller was told; exactly one thing once the call has ended. */
        List<ClaimAction> told() {
            return told;
        }

        void step(Fault fault) {
            nowMicros += 10;
            if (fault == Fault.SIDECARS_RESTART) {
                HOSTS.forEach(ClaimWorld.this::restart);
            }
            ClaimAction action = actions.poll();
            if (action instanceof ClaimAction.Ask ask) {
                StoreReply reply = store.ask(ask.request(), fault.ofStore);
                take(machine.apply(new ClaimEvent.StoreAnswered(reply), nowMicros));
            } else if (action instanceof ClaimAction.Send send) {
                take(machine.apply(call(send, fault), nowMicros));
            } else if (action instanceof ClaimAction.CloseToken close) {
                take(machine.apply(closeToken(close, fault), nowMicros));
            }
        }

        private void take(ClaimMachine.Step step) {
            machine = step.next();
            step.actions().forEach(action -> {
                if (action instanceof ClaimAction.Answer || action instanceof ClaimAction.Refuse) {
                    told.add(action);
                } else {
                    actions.add(action);
                }
            });
        }
    }

    // -- the sidecars

    private ClaimEvent call(ClaimAction.Send send, Fault fault) {
        return switch (fault) {
            case NONE, SIDECARS_RESTART -> pass(send);
            case REFUSED -> new ClaimEvent.CallFailed(Refusal.notRun(Reason.QUEUE_FULL, "full"));
            case CUT_BEFORE -> lost();
            case REPLY_LOST -> {
                pass(send);
                yield lost();
            }
            case DELAYED -> {
                delayed.add(() -> pass(send));
                yield lost();
            }
        };
    }

    private ClaimEvent pass(ClaimAction.Send send) {
        return sidecars.get(send.host())
                .pass(send.token(), send.issuedMicros())
                .<ClaimEvent>map(ClaimEvent.CallFailed::new)
                .orElseGet(() -> execute(send.token()));
    }

    private ClaimEvent execute(String token) {
        executedTokens.add(token);
        return new ClaimEvent.CallAnswered(new CallAnswer(201, "text/plain", "ran with " + token));
    }

    private ClaimEvent closeToken(ClaimAction.CloseToken close, Fault fault) {
        if (fault == Fault.REFUSED || fault == Fault.CUT_BEFORE) {
            return new ClaimEvent.TokenUnanswered();
        } else if (fault == Fault.DELAYED) {
            delayed.add(() -> sidecars.get(close.host()).close(close.token(), close.issuedMicros()));
            return new ClaimEvent.TokenUnanswered();
        }
        ClaimEvent answer =
                new ClaimEvent.TokenAnswered(sidecars.get(close.host()).close(close.token(), close.issuedMicros()));
        return fault == Fault.REPLY_LOST ? new ClaimEvent.TokenUnanswered() : answer;
    }

    private static ClaimEvent lost() {
        return new ClaimEvent.CallFailed(Refusal.of(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "lost"));
    }
}

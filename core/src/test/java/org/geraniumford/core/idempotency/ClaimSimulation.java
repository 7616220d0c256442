package org.geraniumford.core.idempotency;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumford.core.store.FaultyStore;
import org.geraniumford.core.store.StoreResponse;
import org.geraniumford.core.tokens.AttemptTokenRegistry;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;

/** Simulates a store, two sidecars of one plain service, and the entries' calls with one idempotency key. */
final class ClaimSimulation {
    static final List<String> HOSTS = List.of("service-1", "service-2");

    private final FaultyStore store = new FaultyStore();
    private final Map<String, AttemptTokenRegistry> sidecars = new HashMap<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private final List<String> executedTokens = new ArrayList<>();
    private long nowMicros = 1_000;

    ClaimSimulation() {
        HOSTS.forEach(this::restartSidecar);
    }

    /** A fault in one exchange with the store or with a sidecar. */
    enum Fault {
        NONE(FaultyStore.Fault.NONE),
        /** The store or the sidecar refuses the request, which has no effect. */
        REFUSED(FaultyStore.Fault.OUTAGE),
        REQUEST_LOST(FaultyStore.Fault.REQUEST_LOST),
        RESPONSE_LOST(FaultyStore.Fault.RESPONSE_LOST),
        DELAYED(FaultyStore.Fault.DELAYED),
        /** Both sidecars restart before the exchange, which has no further fault. */
        SIDECARS_RESTART(FaultyStore.Fault.NONE);

        private final FaultyStore.Fault storeFault;

        Fault(FaultyStore.Fault storeFault) {
            this.storeFault = storeFault;
        }
    }

    // -- commands

    /** Restarts a sidecar, whose registry then treats the tokens issued so far as unknown, and later ones as new. */
    void restartSidecar(String host) {
        sidecars.put(host, AttemptTokenRegistry.start(nowMicros + 1, Duration.ZERO, 100));
        nowMicros += 10;
    }

    void deliverDelayed() {
        store.deliverDelayed();
        List<Runnable> deliveries = List.copyOf(delayed);
        delayed.clear();
        deliveries.forEach(Runnable::run);
    }

    /** Starts a call at the entry of the given name. */
    Entry startCall(String name, String digest) {
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

    /** The state machine of one entry's call, and the actions that the entry has not performed yet. */
    final class Entry {
        private final String name;
        private final Deque<ClaimAction> actions = new ArrayDeque<>();
        private final List<ClaimAction> responses = new ArrayList<>();
        private ClaimMachine machine;

        private Entry(String name, String digest) {
            this.name = name;
            applyStep(ClaimMachine.start(new ClaimMachine.Request("row", digest, name, HOSTS), nowMicros));
        }

        boolean isRunning() {
            return !actions.isEmpty();
        }

        /** Returns the responses and refusals sent to the caller; exactly one once the call has ended. */
        List<ClaimAction> responses() {
            return responses;
        }

        /** Performs the call's next action with a fault and applies the resulting event. */
        void step(Fault fault) {
            nowMicros += 10;
            if (fault == Fault.SIDECARS_RESTART) {
                HOSTS.forEach(ClaimSimulation.this::restartSidecar);
            }
            ClaimAction action = actions.poll();
            if (action instanceof ClaimAction.SendStoreRequest send) {
                StoreResponse response = store.perform(send.request(), fault.storeFault);
                applyStep(machine.apply(new ClaimEvent.StoreResponseReceived(response), nowMicros));
            } else if (action instanceof ClaimAction.SendCall send) {
                applyStep(machine.apply(call(send, fault), nowMicros));
            } else if (action instanceof ClaimAction.CloseToken close) {
                applyStep(machine.apply(closeToken(close, fault), nowMicros));
            }
        }

        private void applyStep(ClaimMachine.Step step) {
            machine = step.next();
            step.actions().forEach(action -> {
                if (action instanceof ClaimAction.Respond || action instanceof ClaimAction.Refuse) {
                    responses.add(action);
                } else {
                    actions.add(action);
                }
            });
        }
    }

    // -- the sidecars

    private ClaimEvent call(ClaimAction.SendCall send, Fault fault) {
        return switch (fault) {
            case NONE, SIDECARS_RESTART -> forward(send);
            case REFUSED -> new ClaimEvent.CallFailed(Refusal.notRun(Reason.QUEUE_FULL, "full"));
            case REQUEST_LOST -> connectionLost();
            case RESPONSE_LOST -> {
                forward(send);
                yield connectionLost();
            }
            case DELAYED -> {
                delayed.add(() -> forward(send));
                yield connectionLost();
            }
        };
    }

    private ClaimEvent forward(ClaimAction.SendCall send) {
        return sidecars.get(send.host())
                .tryUse(send.token(), send.issuedMicros())
                .<ClaimEvent>map(ClaimEvent.CallFailed::new)
                .orElseGet(() -> execute(send.token()));
    }

    private ClaimEvent execute(String token) {
        executedTokens.add(token);
        return new ClaimEvent.CallResponseReceived(new CallResponse(201, "text/plain", "ran with " + token));
    }

    private ClaimEvent closeToken(ClaimAction.CloseToken close, Fault fault) {
        if (fault == Fault.REFUSED || fault == Fault.REQUEST_LOST) {
            return new ClaimEvent.TokenStateUnavailable();
        } else if (fault == Fault.DELAYED) {
            delayed.add(() -> sidecars.get(close.host()).close(close.token(), close.issuedMicros()));
            return new ClaimEvent.TokenStateUnavailable();
        }
        ClaimEvent response = new ClaimEvent.TokenStateReceived(
                sidecars.get(close.host()).close(close.token(), close.issuedMicros()));
        return fault == Fault.RESPONSE_LOST ? new ClaimEvent.TokenStateUnavailable() : response;
    }

    private static ClaimEvent connectionLost() {
        return new ClaimEvent.CallFailed(Refusal.of(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "lost"));
    }
}

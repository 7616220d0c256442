package org.geraniumford.daemon.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.geraniumford.core.admission.AdmissionLimits;
import org.geraniumford.core.admission.AdmissionQueue;
import org.geraniumford.core.admission.EngineCostModel;
import org.geraniumford.core.cache.CacheIndex;
import org.geraniumford.core.cache.GapPolicy;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.engine.CompletionEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against attempts that end twice, never, or with a false verdict when the engine, the ring or the peer fails at
 * any step of a request.
 */
final class ModelRequestsTest {
    private static final long INCARNATION = 5;
    private static final String WEIGHTS = "weights-1";
    private static final BackendState UP = new BackendState("", "model-1", WEIGHTS, INCARNATION, true);
    private static final int TOKENS = 4;

    private final FakeEngine engine = new FakeEngine();
    private final Deque<SidecarEvent> ring = new ArrayDeque<>();
    private final FakePeer peer = new FakePeer();
    private final ModelRequests requests;
    private boolean ringFull;
    private long nowNanos;

    ModelRequestsTest() {
        CacheIndex index = CacheIndex.of(GapPolicy.VOID_AFFECTED);
        index.observeIncarnation(INCARNATION);
        requests = ModelRequests.of(
                engine,
                event -> !ringFull && ring.add(event),
                index,
                AdmissionQueue.of(new AdmissionLimits(8, 1, 8, 1 << 20), EngineCostModel.initial()),
                SidecarMetrics.of(new SimpleMeterRegistry()),
                () -> nowNanos);
    }

    // -- fault table: each step with each ordered pair of faults, including the same fault twice

    @ParameterizedTest
    @MethodSource("faults")
    void shouldEndOnceWithCorrectVerdictWhenFaultsOccurAtAnyStep(Step step, Fault firstFault, Fault secondFault) {
        // Only one prefill may run at a time, so r1 waits until that of the blocker has ended.
        requests.submit(peer, submit("blocker", 1_000), UP);
        requests.submit(peer, submit("r1", 1_000), UP);
        if (step != Step.WAITING) {
            receiveWholeResponse("blocker.1");
        }
        step.advance(this);
        boolean forwarded = engine.runs.containsKey("r1.1");
        firstFault.inject(this);
        secondFault.inject(this);
        // By then, the deadline of a waiting attempt and the stall timeout of a running one have passed.
        nowNanos += TimeUnit.HOURS.toNanos(1);
        requests.tick();
        handleRingEvents();
        List<Message> finalMessages = peer.messagesFor("r1").stream()
                .filter(message -> message instanceof Message.End || message instanceof Message.Refused)
                .toList();
        boolean withoutFinalMessage = firstFault.withoutFinalMessage || secondFault.withoutFinalMessage;
        assertThat(finalMessages).hasSizeLessThanOrEqualTo(1);
        assertThat(withoutFinalMessage || finalMessages.size() == 1).isTrue();
        finalMessages.stream()
                .filter(Message.Refused.class::isInstance)
                .map(message -> ((Message.Refused) message).refusal().verdict())
                .forEach(verdict -> assertThat(verdict).isEqualTo(forwarded ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN));
        assertThat(engine.runs.containsKey("r1.1")).isEqualTo(forwarded);
        assertThat(tokens("r1"))
                .isEqualTo(
                        List.of("t0", "t1", "t2", "t3").subList(0, tokens("r1").size()));
        assertThat(requests.waiting() + requests.running()).isZero();
    }

    static Stream<Arguments> faults() {
        return Arrays.stream(Step.values())
                .flatMap(step -> Arrays.stream(Fault.values())
                        .flatMap(firstFault -> Arrays.stream(Fault.values())
                                .map(secondFault -> Arguments.of(step, firstFault, secondFault))));
    }

    private enum Step {
        WAITING,
        FORWARDED,
        STARTED,
        FIRST_TOKEN,
        MID_STREAM;

        /** Sends the engine's events up to this step. */
        void advance(ModelRequestsTest test) {
            if (compareTo(STARTED) >= 0) {
                test.receive(new CompletionEvent.Started(INCARNATION, WEIGHTS, 0));
            }
            if (compareTo(FIRST_TOKEN) >= 0) {
                test.receiveToken(0, INCARNATION, WEIGHTS);
            }
            if (compareTo(MID_STREAM) >= 0) {
                test.receiveToken(1, INCARNATION, WEIGHTS);
            }
        }
    }

    private enum Fault {
        ENGINE_LOST(false) {
            @Override
            void inject(ModelRequestsTest test) {
                test.failEngine();
            }
        },
        ENGINE_RESTARTED(false) {
            @Override
            void inject(ModelRequestsTest test) {
                test.requests.refuseWaiting(Refusal.notRun(Reason.STALE_INCARNATION, "restarted"));
                test.receiveToken(2, INCARNATION + 1, WEIGHTS);
            }
        },
        WEIGHTS_CHANGED(false) {
            @Override
            void inject(ModelRequestsTest test) {
                test.requests.refuseWaiting(Refusal.notRun(Reason.WRONG_WEIGHTS, "changed"));
                test.receiveToken(2, INCARNATION, "weights-2");
            }
        },
        OFFSET_SKIPPED(false) {
            @Override
            void inject(ModelRequestsTest test) {
                test.receiveToken(3, INCARNATION, WEIGHTS);
            }
        },
        RING_FULL(false) {
            @Override
            void inject(ModelRequestsTest test) {
                test.ringFull = true;
                test.receiveToken(2, INCARNATION, WEIGHTS);
                test.ringFull = false;
            }
        },
        ENGINE_STALLED(false) {
            @Override
            void inject(ModelRequestsTest test) {
                test.nowNanos += TimeUnit.HOURS.toNanos(1);
                test.requests.tick();
            }
        },
        CANCELLED(true) {
            @Override
            void inject(ModelRequestsTest test) {
                test.requests.cancel(new AttemptId("r1", 1));
            }
        },
        PEER_LOST(true) {
            @Override
            void inject(ModelRequestsTest test) {
                test.peer.open = false;
                test.requests.removePeer(test.peer);
            }
        };

        /** Whether the peer gets no final message, because it cancelled the attempt or closed its link. */
        private final boolean withoutFinalMessage;

        Fault(boolean withoutFinalMessage) {
            this.withoutFinalMessage = withoutFinalMessage;
        }

        abstract void inject(ModelRequestsTest test);
    }

    @Test
    void shouldRefuseAtNextTickWhenFullRingDropsResponseEvents() {
        requests.submit(peer, submit("r1", 1_000), UP);
        Fault.RING_FULL.inject(this);
        requests.tick();
        assertThat(peer.messagesFor("r1")).singleElement().isInstanceOfSatisfying(Message.Refused.class, refused -> {
            assertThat(refused.refusal().reason()).isEqualTo(Reason.RING_FULL);
            assertThat(refused.refusal().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        });
        assertThat(engine.cancelled).containsExactly("r1.1");
    }

    // -- backpressure

    @Test
    void shouldPauseEngineUntilCreditArrivesWhenPeerGrantsLittle() {
        requests.submit(peer, submit("r1", 1), UP);
        receive(new CompletionEvent.Started(INCARNATION, WEIGHTS, 0));
        receiveToken(0, INCARNATION, WEIGHTS);
        receiveToken(1, INCARNATION, WEIGHTS);
        assertThat(engine.runs.get("r1.1").paused).isTrue();
        assertThat(tokens("r1")).containsExactly("t0");
        requests.applyCredit(new Message.Credit(new AttemptId("r1", 1), 3));
        assertThat(engine.runs.get("r1.1").paused).isFalse();
        assertThat(tokens("r1")).containsExactly("t0", "t1");
    }

    @Test
    void shouldSendStartedThenChunksThenEndWhenResponseIsComplete() {
        requests.submit(peer, submit("r1", 1_000), UP);
        receiveWholeResponse("r1.1");
        assertThat(peer.messagesFor("r1")).extracting(Object::getClass).startsWith(Message.Started.class);
        assertThat(peer.messagesFor("r1").get(peer.messagesFor("r1").size() - 1))
                .isInstanceOf(Message.End.class);
        assertThat(tokens("r1")).containsExactly("t0", "t1", "t2", "t3");
    }

    // -- helpers

    private void receiveWholeResponse(String engineRequestId) {
        receive(engineRequestId, new CompletionEvent.Started(INCARNATION, WEIGHTS, 0));
        for (int i = 0; i < TOKENS; i++) {
            receive(engineRequestId, new CompletionEvent.Token(i, "t" + i, INCARNATION, WEIGHTS));
        }
        receive(engineRequestId, new CompletionEvent.End("length", TOKENS, 1, 0));
    }

    private void receiveToken(int offset, long incarnation, String weights) {
        boolean mismatched = incarnation != INCARNATION || !weights.equals(WEIGHTS);
        receive(new CompletionEvent.Token(offset, mismatched ? "foreign" : "t" + offset, incarnation, weights));
    }

    private void receive(CompletionEvent event) {
        receive("r1.1", event);
    }

    private void receive(String engineRequestId, CompletionEvent event) {
        if (engine.runs.containsKey(engineRequestId) && !engine.runs.get(engineRequestId).aborted) {
            engine.runs.get(engineRequestId).listener.received(List.of(event));
        }
        handleRingEvents();
    }

    private void failEngine() {
        engine.runs.values().stream()
                .filter(run -> !run.aborted)
                .forEach(run -> run.listener.failed(
                        Refusal.of(Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN, "the engine is lost")));
        requests.refuseWaiting(Refusal.notRun(Reason.NO_BACKEND, "the engine is lost"));
        handleRingEvents();
    }

    /** Handles the events in the ring, as the worker would. */
    private void handleRingEvents() {
        for (SidecarEvent event = ring.poll(); event != null; event = ring.poll()) {
            if (event instanceof SidecarEvent.CompletionEventsReceived received) {
                requests.handleEvents(received.attempt(), received.events());
            } else if (event instanceof SidecarEvent.AttemptFailed failed) {
                requests.handleFailure(failed.attempt(), failed.refusal());
            }
        }
    }

    private List<String> tokens(String request) {
        return peer.messagesFor(request).stream()
                .filter(Message.Chunk.class::isInstance)
                .flatMap(chunk -> ((Message.Chunk) chunk).tokens().stream())
                .toList();
    }

    private static Message.Submit submit(String request, int credit) {
        CacheScope scope = new CacheScope("amahoro", WEIGHTS, "");
        return new Message.Submit(
                new AttemptId(request, 1),
                "model-1",
                scope,
                "check",
                0,
                1,
                TimeUnit.MINUTES.toMicros(1),
                INCARNATION,
                PrefixChain.of(scope, List.of(request), 50).blocks(),
                request,
                TOKENS,
                0,
                credit);
    }

    private static final class FakePeer implements Peer {
        private final List<Message> sent = new ArrayList<>();
        private boolean open = true;

        @Override
        public boolean send(Message message) {
            return open && sent.add(message);
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public boolean isFlushed() {
            return true;
        }

        private List<Message> messagesFor(String request) {
            return sent.stream()
                    .filter(message -> message.toString().contains("requestId=" + request + ","))
                    .toList();
        }
    }
}

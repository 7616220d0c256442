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
    private long now;

    ModelRequestsTest() {
        CacheIndex index = CacheIndex.of(GapPolicy.VOID_AFFECTED);
        index.observeIncarnation(INCARNATION);
        requests = ModelRequests.of(
                engine,
                event -> !ringFull && ring.add(event),
                index,
                AdmissionQueue.of(new AdmissionLimits(8, 1, 8, 1 << 20), EngineCostModel.initial()),
                SidecarMetrics.of(new SimpleMeterRegistry()),
                () -> now);
    }

    // -- the fault table: steps by faults, single, twice and in pairs

    @ParameterizedTest
    @MethodSource("faults")
    void shouldEndOnceWithTrueVerdictWhenFaultsMeetAnyStep(Step step, Fault one, Fault other) {
        requests.submit(peer, submit("blocker", 1_000), UP);
        requests.submit(peer, submit("r1", 1_000), UP);
        if (step != Step.WAITING) {
            finish("blocker.1");
        }
        step.advance(this);
        boolean passed = engine.runs.containsKey("r1.1");
        one.inject(this);
        other.inject(this);
        now += TimeUnit.HOURS.toNanos(1);
        requests.tick();
        drain();
        List<Message> ends = peer.messagesFor("r1").stream()
                .filter(message -> message instanceof Message.End || message instanceof Message.Refused)
                .toList();
        boolean silent = one.silent || other.silent;
        assertThat(ends).hasSizeLessThanOrEqualTo(1);
        assertThat(silent || ends.size() == 1).isTrue();
        ends.stream()
                .filter(Message.Refused.class::isInstance)
                .map(end -> ((Message.Refused) end).refusal().verdict())
                .forEach(verdict -> assertThat(verdict).isEqualTo(passed ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN));
        assertThat(engine.runs.containsKey("r1.1")).isEqualTo(passed);
        assertThat(tokens("r1"))
                .isEqualTo(
                        List.of("t0", "t1", "t2", "t3").subList(0, tokens("r1").size()));
        assertThat(requests.waiting() + requests.running()).isZero();
    }

    static Stream<Arguments> faults() {
        return Arrays.stream(Step.values())
                .flatMap(step -> Arrays.stream(Fault.values())
                        .flatMap(one -> Arrays.stream(Fault.values()).map(other -> Arguments.of(step, one, other))));
    }

    private enum Step {
        WAITING,
        FORWARDED,
        STARTED,
        FIRST_TOKEN,
        MID_STREAM;

        void advance(ModelRequestsTest test) {
            if (compareTo(STARTED) >= 0) {
                test.answer(new CompletionEvent.Started(INCARNATION, WEIGHTS, 0));
            }
            if (compareTo(FIRST_TOKEN) >= 0) {
                test.token(0, INCARNATION, WEIGHTS);
            }
            if (compareTo(MID_STREAM) >= 0) {
                test.token(1, INCARNATION, WEIGHTS);
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
                test.token(2, INCARNATION + 1, WEIGHTS);
            }
        },
        OTHER_WEIGHTS(false) {
            @Override
            void inject(ModelRequestsTest test) {
                test.requests.refuseWaiting(Refusal.notRun(Reason.WRONG_WEIGHTS, "changed"));
                test.token(2, INCARNATION, "weights-2");
            }
        },
        OFFSET_SKIPPED(false) {
            @Override
            void inject(ModelRequestsTest test) {
                test.token(3, INCARNATION, WEIGHTS);
            }
        },
        RING_FULL(false) {
            @Override
            void inject(ModelRequestsTest test) {
                test.ringFull = true;
                test.token(2, INCARNATION, WEIGHTS);
                test.ringFull = false;
            }
        },
        FROZEN(false) {
            @Override
            void inject(ModelRequestsTest test) {
                test.now += TimeUnit.HOURS.toNanos(1);
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

        private final boolean silent;

        Fault(boolean silent) {
            this.silent = silent;
        }

        abstract void inject(ModelRequestsTest test);
    }

    @Test
    void shouldRefuseAtNextTickWhenRingLostPartOfAnswer() {
        requests.submit(peer, submit("r1", 1_000), UP);
        Fault.RING_FULL.inject(this);
        requests.tick();
        assertThat(peer.messagesFor("r1")).singleElement().isInstanceOfSatisfying(Message.Refused.class, refused -> {
            assertThat(refused.refusal().reason()).isEqualTo(Reason.RING_FULL);
            assertThat(refused.refusal().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        });
        assertThat(engine.cancelled).containsExactly("r1.1");
    }

    // -- back pressure

    @Test
    void shouldPauseEngineUntilCreditComesWhenPeerGivesLittle() {
        requests.submit(peer, submit("r1", 1), UP);
        answer(new CompletionEvent.Started(INCARNATION, WEIGHTS, 0));
        token(0, INCARNATION, WEIGHTS);
        token(1, INCARNATION, WEIGHTS);
        assertThat(engine.runs.get("r1.1").paused).isTrue();
        assertThat(tokens("r1")).containsExactly("t0");
        requests.applyCredit(new Message.Credit(new AttemptId("r1", 1), 3));
        assertThat(engine.runs.get("r1.1").paused).isFalse();
        assertThat(tokens("r1")).containsExactly("t0", "t1");
    }

    @Test
    void shouldSendStartedThenChunksThenEndWhenAnswerIsWhole() {
        requests.submit(peer, submit("r1", 1_000), UP);
        finish("r1.1");
        assertThat(peer.messagesFor("r1")).extracting(Object::getClass).startsWith(Message.Started.class);
        assertThat(peer.messagesFor("r1").get(peer.messagesFor("r1").size() - 1))
                .isInstanceOf(Message.End.class);
        assertThat(tokens("r1")).containsExactly("t0", "t1", "t2", "t3");
    }

    // -- helpers

    private void finish(String engineId) {
        answer(engineId, new CompletionEvent.Started(INCARNATION, WEIGHTS, 0));
        for (int i = 0; i < TOKENS; i++) {
            answer(engineId, new CompletionEvent.Token(i, "t" + i, INCARNATION, WEIGHTS));
        }
        answer(engineId, new CompletionEvent.End("length", TOKENS, 1, 0));
    }

    private void token(int offset, long incarnation, String weights) {
        boolean foreign = incarnation != INCARNATION || !weights.equals(WEIGHTS);
        answer(new CompletionEvent.Token(offset, foreign ? "foreign" : "t" + offset, incarnation, weights));
    }

    private void answer(CompletionEvent answer) {
        answer("r1.1", answer);
    }

    private void answer(String engineId, CompletionEvent answer) {
        if (engine.runs.containsKey(engineId) && !engine.runs.get(engineId).aborted) {
            engine.runs.get(engineId).listener.received(List.of(answer));
        }
        drain();
    }

    private void failEngine() {
        engine.runs.values().stream()
                .filter(run -> !run.aborted)
                .forEach(run -> run.listener.failed(
                        Refusal.of(Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN, "the engine is lost")));
        requests.refuseWaiting(Refusal.notRun(Reason.NO_BACKEND, "the engine is lost"));
        drain();
    }

    private void drain() {
        for (SidecarEvent event = ring.poll(); event != null; event = ring.poll()) {
            if (event instanceof SidecarEvent.CompletionEventsReceived answered) {
                requests.handleEvents(answered.attempt(), answered.events());
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

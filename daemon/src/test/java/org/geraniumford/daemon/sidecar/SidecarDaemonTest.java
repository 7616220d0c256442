package org.geraniumford.daemon.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.geraniumford.core.prefix.BlockKey;
import org.geraniumford.core.prefix.CacheScope;
import org.geraniumford.core.prefix.PrefixChain;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;
import org.geraniumford.daemon.settings.SidecarSettings;
import org.geraniumford.standins.engine.EngineFaults;
import org.geraniumford.standins.engine.EngineOptions;
import org.geraniumford.standins.engine.EngineStandIn;
import org.geraniumford.standins.engine.EngineTiming;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs a sidecar in front of a stand-in engine and checks what its peers receive over a real link. */
final class SidecarDaemonTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final URI NO_PLATFORM = URI.create("http://127.0.0.1:1/");
    private static final CacheScope SCOPE = new CacheScope("amahoro", "weights-1", "");
    private static final List<String> LEVELS = List.of("house preamble ".repeat(20), "roll ".repeat(40), "question");
    private static final int BLOCK_TOKENS = 50;
    private static final int SPEEDUP = 10;

    private EngineStandIn engine;
    private SidecarDaemon sidecar;
    private LinkClient client;
    private Message.SidecarState initialState;

    @BeforeEach
    void start() {
        engine = EngineStandIn.start(
                EngineOptions.ofDefaults().withTiming(EngineTiming.ofDefaults().scaled(SPEEDUP)));
        sidecar = SidecarDaemon.start(new SidecarSettings(
                        "runner-1", "kigali-a", ANY_PORT, ANY_PORT, NO_PLATFORM, List.of(), engine.uri(), ""))
                .join();
        client = LinkClient.connect(sidecar.linkAddress());
        client.next(Message.Hello.class);
        initialState = client.next(Message.SidecarState.class, message -> message.backendIncarnation() != 0);
    }

    @AfterEach
    void stop() {
        client.close();
        sidecar.close();
        engine.close();
    }

    // -- model requests

    @Test
    void shouldStreamWholeResponseInOrderWhenCreditSuffices() {
        client.send(submit("r1", 20, 100));
        assertThat(client.next(Message.Started.class).cachedBlocks()).isZero();
        assertThat(nextTokens("r1", 20)).hasSize(20).doesNotContain("");
        assertThat(client.next(Message.End.class).offset()).isEqualTo(20);
    }

    @Test
    void shouldSendNoMoreThanCreditWhenPeerGrantsLittle() {
        client.send(submit("r1", 10, 3));
        assertThat(nextTokens("r1", 3)).hasSize(3);
        client.send(new Message.Ping(7));
        client.next(Message.Pong.class);
        assertThat(client.received()).isEmpty();
        client.send(new Message.Credit(new AttemptId("r1", 1), 10));
        assertThat(nextTokens("r1", 7)).hasSize(7);
        assertThat(client.next(Message.End.class).offset()).isEqualTo(10);
    }

    @Test
    void shouldReportCachedBlocksWhenSamePrefixRanBefore() {
        client.send(submit("r1", 2, 100));
        client.next(Message.End.class);
        client.send(new Message.Probe(1, "weights-1", digests("amahoro")));
        client.send(new Message.Probe(2, "weights-1", digests("urumuri")));
        client.send(new Message.Probe(3, "weights-2", digests("amahoro")));
        assertThat(client.next(Message.ProbeResponse.class).cachedBlocks())
                .isEqualTo(chain("amahoro").size());
        assertThat(client.next(Message.ProbeResponse.class).cachedBlocks()).isZero();
        assertThat(client.next(Message.ProbeResponse.class).cachedBlocks()).isZero();
        client.send(submit("r2", 2, 100));
        assertThat(client.next(Message.Started.class).cachedBlocks())
                .isEqualTo(chain("amahoro").size());
    }

    @Test
    void shouldRefuseAsNotRunWhenIncarnationOrWeightsDiffer() {
        client.send(submit(new AttemptId("r1", 1), SCOPE, 1, 5, 100));
        assertThat(client.next(Message.Refused.class).refusal().reason()).isEqualTo(Reason.STALE_INCARNATION);
        client.send(submit(new AttemptId("r2", 1), new CacheScope("amahoro", "weights-2", ""), 0, 5, 100));
        Message.Refused refused = client.next(Message.Refused.class);
        assertThat(refused.refusal().reason()).isEqualTo(Reason.WRONG_WEIGHTS);
        assertThat(refused.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(engine.executions()).isEmpty();
    }

    @Test
    void shouldVoidCacheAndAnnounceIncarnationWhenEngineRestarts() {
        client.send(submit("r1", 2, 100));
        client.next(Message.End.class);
        // The engine crashes and restarts at once.
        engine.inject(new EngineFaults(true, 0, null, null, null, false));
        Message.SidecarState stateAfterRestart = client.next(
                Message.SidecarState.class,
                message -> message.backendIncarnation() > initialState.backendIncarnation());
        client.send(new Message.Probe(1, "weights-1", digests("amahoro")));
        Message.ProbeResponse response = client.next(Message.ProbeResponse.class);
        assertThat(response.cachedBlocks()).isZero();
        assertThat(response.backendIncarnation()).isEqualTo(stateAfterRestart.backendIncarnation());
    }

    @Test
    void shouldRefuseAsMayHaveRunWhenEngineCutsStream() {
        client.send(submit("r1", 1000, 5000));
        client.next(Message.Chunk.class);
        // The engine aborts its streams without a crash.
        engine.inject(new EngineFaults(false, 0, null, null, null, true));
        Message.Refused refused = client.next(Message.Refused.class);
        assertThat(refused.refusal().reason()).isEqualTo(Reason.STREAM_BROKEN);
        assertThat(refused.refusal().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    // -- leaving

    @Test
    void shouldFinishStreamsAndRefuseNewWorkWhenDrained() {
        // The stream waits for credit, so that the sidecar is still draining when the second request arrives.
        client.send(submit("r1", 50, 10));
        client.next(Message.Started.class);
        var drained = sidecar.drain();
        client.next(Message.SidecarState.class, Message.SidecarState::leaving);
        client.send(submit("r2", 5, 100));
        Message.Refused refused = client.next(Message.Refused.class, message -> true);
        assertThat(refused.refusal().reason()).isEqualTo(Reason.LEAVING);
        assertThat(refused.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(drained).isNotDone();
        client.send(new Message.Credit(new AttemptId("r1", 1), 50));
        assertThat(client.next(Message.End.class).offset()).isEqualTo(50);
        drained.join();
        assertThat(engine.executions()).containsOnlyKeys("r1.1");
    }

    // -- helpers

    private List<String> nextTokens(String request, int count) {
        List<String> tokens = new java.util.ArrayList<>();
        while (tokens.size() < count) {
            Message.Chunk chunk = client.next(
                    Message.Chunk.class, message -> message.id().requestId().equals(request));
            tokens.addAll(chunk.tokens());
        }
        return tokens;
    }

    private static PrefixChain chain(String customer) {
        return PrefixChain.of(new CacheScope(customer, "weights-1", ""), LEVELS, BLOCK_TOKENS);
    }

    private static List<Long> digests(String customer) {
        return chain(customer).keys().stream().map(BlockKey::shortDigest).toList();
    }

    private static Message.Submit submit(String request, int maxTokens, int credit) {
        return submit(new AttemptId(request, 1), SCOPE, 0, maxTokens, credit);
    }

    private static Message.Submit submit(AttemptId id, CacheScope scope, long incarnation, int maxTokens, int credit) {
        return new Message.Submit(
                id,
                "model-1",
                scope,
                "check",
                0,
                1,
                60_000_000,
                incarnation,
                PrefixChain.of(scope, LEVELS, BLOCK_TOKENS).blocks(),
                String.join("", LEVELS),
                maxTokens,
                0,
                credit);
    }
}

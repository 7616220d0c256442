package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumford.core.prompt.PromptSegment;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.service.EngineSpec;
import org.geraniumford.core.service.SharingGroup;
import org.junit.jupiter.api.Test;

/** Guards against engines that prefill a shared prefix again, or wait for a busy store, though another one has it. */
final class PrefixProvidersTest {
    private static final String MODEL = "model";
    private static final long CAPACITY_TOKENS = 100_000;
    private static final ScopedPrompt LONG_PROMPT = prompt("session");

    private final AtomicLong nanos = new AtomicLong();
    private final CacheEstimate estimate = CacheEstimate.of(CAPACITY_TOKENS, nanos::get);
    private final PrefixProviders providers = PrefixProviders.of(new Random(1));

    private static ScopedPrompt prompt(String session) {
        return ScopedPrompt.of(
                new SegmentScope(SharingGroup.ofAllExcept(Set.of()), "1"),
                new PromptSpec(
                        MODEL,
                        9190,
                        13,
                        List.of(
                                new PromptSegment("preamble", 2520),
                                new PromptSegment(session, 3780),
                                new PromptSegment("own-" + session, 2890))));
    }

    private static ServerState engine(String id, String domain, int weights) {
        return ServerState.of(
                new BackendServer(id, 1, "service", "10.0.0.1:80", domain, 64, false, Map.of(MODEL, weights)),
                Optional.of(new EngineSpec(64, CAPACITY_TOKENS, false)));
    }

    /** Returns an engine that has had the prompt cached for a while. */
    private static ServerState holder(String id, String domain, int weights) {
        ServerState state = engine(id, domain, weights);
        state.cache().recordPrefilled(LONG_PROMPT.segments());
        return state;
    }

    private Optional<ServerState> choose(ServerState fetching, ServerState... others) throws InterruptedException {
        Thread.sleep(900);
        return providers.choose(List.of(others), fetching, MODEL, LONG_PROMPT.sharedSegments(), System.nanoTime());
    }

    @Test
    void shouldPreferAnEngineOfTheSameFailureDomainWithTheSameWeights() throws InterruptedException {
        ServerState fetching = engine("fetching", "here", 2);
        ServerState near = holder("near", "here", 2);
        assertThat(choose(
                        fetching, holder("far", "there", 2), near, holder("old", "here", 1), engine("cold", "here", 2)))
                .containsSame(near);
    }

    @Test
    void shouldUseAnEngineOfAnotherFailureDomainIfThereIsNoOther() throws InterruptedException {
        ServerState far = holder("far", "there", 2);
        assertThat(choose(engine("fetching", "here", 2), far)).containsSame(far);
    }

    @Test
    void shouldChooseNobodyIfOnlyTheFetchingEngineHasThePrefix() throws InterruptedException {
        ServerState fetching = holder("fetching", "here", 2);
        assertThat(choose(fetching, fetching, engine("cold", "here", 2))).isEmpty();
    }

    @Test
    void shouldNotFetchWhatIsStillBeingPrefilled() {
        estimate.recordPrefilled(LONG_PROMPT.segments());
        nanos.set(Duration.ofMillis(700).toNanos());
        assertThat(estimate.canProvide(LONG_PROMPT.sharedSegments())).isFalse();
        nanos.set(Duration.ofMillis(900).toNanos());
        assertThat(estimate.canProvide(LONG_PROMPT.sharedSegments())).isTrue();
    }

    @Test
    void shouldNotFetchWhatMayBeEvictedSoon() {
        estimate.recordPrefilled(LONG_PROMPT.segments());
        nanos.set(Duration.ofSeconds(5).toNanos());
        for (int i = 0; i < 7; i++) {
            assertThat(estimate.canProvide(LONG_PROMPT.sharedSegments())).isTrue();
            estimate.recordPrefilled(prompt("other-" + i).segments());
        }
        for (int i = 7; i < 12; i++) {
            estimate.recordPrefilled(prompt("other-" + i).segments());
        }
        assertThat(estimate.canProvide(LONG_PROMPT.sharedSegments())).isFalse();
    }

    /** Replays deployment A: prefixes of 1.03 GB, 33 a second over 41 entries, three stores with 200 Gbit/s each. */
    @Test
    void shouldFindTheLinksOfTheStoresBusyAtTheUsualLoad() {
        StoreTraffic traffic = StoreTraffic.idle();
        double prefixBytes = 6300 * 163_840.0;
        long betweenPrefixesNanos = Math.round(1e9 * 41 * 3 / 33);
        long now = 0;
        for (int i = 0; i < 20; i++) {
            now += betweenPrefixesNanos;
            traffic.record("store", prefixBytes, now);
        }
        double average = traffic.utilization("store", 200_000, 41, now + betweenPrefixesNanos / 2);
        assertThat(average).isBetween(0.3, 0.8);
        assertThat(traffic.utilization(
                        "store", 200_000, 41, now + Duration.ofSeconds(30).toNanos()))
                .isLessThan(0.01);
        assertThat(traffic.utilization("store", 0, 41, now)).isZero();
    }
}

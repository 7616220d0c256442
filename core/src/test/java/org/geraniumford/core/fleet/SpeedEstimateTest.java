package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class SpeedEstimateTest {
    private static final long SECOND = 1_000_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ServerDirectory directory = ServerDirectory.empty(name -> Optional.empty());
    private final ServerSpeeds speeds = ServerSpeeds.of(directory);
    private long nowNanos;

    private ServerState list(String id, long incarnation) {
        directory.register(
                new BackendServer(id, incarnation, "engines", "10.0.0.1:80", "here", 64, false, Map.of("model", 1)));
        return directory.find(id).orElseThrow();
    }

    /** Records prompts of 628 to 9,190 tokens, half of them behind others, at steps of 6 ms. */
    private void serve(ServerState state, double tokensPerMs, int count) {
        Random random = new Random(5);
        for (int i = 0; i < count; i++) {
            nowNanos += SECOND / 2;
            long tokens = i % 3 == 0 ? 628 : 2890 + random.nextInt(6300);
            long before = i % 2 == 0 ? 0 : tokens;
            double millis = (tokens + before) / tokensPerMs + 6 * (1 + random.nextDouble()) + 1.4 * random.nextDouble();
            state.speedEstimate().recordStep(6, nowNanos);
            state.speedEstimate().recordPrefill(before, tokens, Math.round(millis * NANOS_PER_MILLI), nowNanos);
        }
        speeds.refresh(nowNanos);
    }

    private static double prefillSpeed(ServerState state) {
        return state.speed().prefillTokensPerMs();
    }

    // -- own samples

    @Test
    void shouldConvergeToTheSpeedOfTheEngine() {
        for (double speed : new double[] {10, 30.9, 49, 90}) {
            ServerState state = list("engine-" + speed, 1);
            serve(state, speed, 12);
            assertThat(prefillSpeed(state)).isCloseTo(speed, within(0.1 * speed));
            assertThat(state.speed().stepMs()).hasValue(6);
        }
    }

    /** Guards against a single late response, or one that was cached after all, which moves much load. */
    @Test
    void shouldChangeLittleWhenSomeSamplesAreOutliers() {
        ServerState state = list("engine", 1);
        serve(state, 30, 12);
        state.speedEstimate().recordPrefill(0, 9000, 1, nowNanos);
        speeds.refresh(nowNanos);
        assertThat(prefillSpeed(state)).isCloseTo(30, within(4.0));
        state.speedEstimate().recordPrefill(0, 9000, 30 * SECOND, nowNanos);
        speeds.refresh(nowNanos);
        assertThat(prefillSpeed(state)).isCloseTo(30, within(4.0));
    }

    @Test
    void shouldUseTheDefaultWhenThereAreFewSamples() {
        ServerState state = list("engine", 1);
        serve(state, 30, 4);
        assertThat(state.speed()).isEqualTo(ServerSpeed.UNKNOWN);
    }

    /** Guards against an engine that attracts all load because it answers short, empty or cached prompts at once. */
    @Test
    void shouldIgnorePromptsThatSayLittleAndKeepWithinBounds() {
        ServerState state = list("engine", 1);
        for (int i = 0; i < 16; i++) {
            state.speedEstimate().recordPrefill(0, 299, 1, nowNanos);
            state.speedEstimate().recordPrefill(40_000, 1000, 1, nowNanos);
        }
        speeds.refresh(nowNanos);
        assertThat(state.speed()).isEqualTo(ServerSpeed.UNKNOWN);
        for (int i = 0; i < 16; i++) {
            state.speedEstimate().recordPrefill(0, 3000, 1, nowNanos);
        }
        speeds.refresh(nowNanos);
        assertThat(prefillSpeed(state)).isEqualTo(500);
    }

    /** Guards against an engine that is 2.5 times slower for some seconds, and against avoiding it ever after. */
    @Test
    void shouldFollowASlowdownAndForgetItWhenNothingMoreIsMeasured() {
        ServerState state = list("engine", 1);
        serve(list("other", 1), 40, 16);
        serve(state, 40, 16);
        serve(state, 16, 10);
        assertThat(prefillSpeed(state)).isCloseTo(16, within(2.5));
        serve(state, 40, 10);
        assertThat(prefillSpeed(state)).isCloseTo(40, within(5.0));
        serve(state, 16, 10);
        nowNanos += 55 * SECOND;
        serve(list("other", 1), 40, 8);
        nowNanos += 5 * SECOND;
        speeds.refresh(nowNanos);
        assertThat(prefillSpeed(state)).isCloseTo(40, within(5.0));
    }

    @Test
    void shouldTakeTheTimePerRequestOfAPlainService() {
        ServerState state = list("plain", 1);
        for (int i = 0; i < 8; i++) {
            state.speedEstimate().recordRequest(86_000_000 + i * 1_000_000L, nowNanos);
        }
        speeds.refresh(nowNanos);
        assertThat(state.speed().requestMs().orElse(0)).isCloseTo(90, within(5.0));
    }

    // -- other servers

    @Test
    void shouldStartFromTheMedianOfTheServiceAndAfreshUnderANewIncarnation() {
        for (double speed : new double[] {10, 40, 44}) {
            serve(list("engine-" + speed, 1), speed, 10);
        }
        ServerState added = list("added", 1);
        speeds.refresh(nowNanos);
        assertThat(prefillSpeed(added)).isCloseTo(40, within(4.0));
        ServerState restarted = list("engine-10.0", 2);
        speeds.refresh(nowNanos);
        assertThat(prefillSpeed(restarted)).isCloseTo(40, within(4.5));
    }

    /** Guards against an engine that attracts all load, because its prompts cost it less than assumed. */
    @Test
    void shouldCountAtMostFiveTimesTheMedianOfTheService() {
        for (double speed : new double[] {30, 32, 400}) {
            serve(list("engine-" + speed, 1), speed, 10);
        }
        assertThat(prefillSpeed(list("engine-400.0", 1))).isCloseTo(160, within(16.0));
    }

    // -- gossip

    @Test
    void shouldAdoptTheSpeedsOfPeersWhenAnEntryStarts() {
        ServerState state = list("engine", 1);
        for (int peer = 0; peer < 3; peer++) {
            speeds.applyGossip("peer-" + peer, true, List.of(told(1, 28_000 + 1000 * peer, 2)), nowNanos);
        }
        speeds.refresh(nowNanos);
        assertThat(prefillSpeed(state)).isEqualTo(29);
        speeds.applyGossip("peer-0", true, List.of(told(2, 90_000, 16)), nowNanos);
        speeds.refresh(nowNanos);
        assertThat(state.speed()).isEqualTo(ServerSpeed.UNKNOWN);
    }

    private static SpeedAnnouncement told(long incarnation, long tokensPerSecond, int samples) {
        return new SpeedAnnouncement("engine", incarnation, tokensPerSecond, 6000, 0, samples, 1000 * samples);
    }

    /** Guards against one entry whose wrong measurements change the choice of all. */
    @Test
    void shouldWeighAPeersSpeedByItsSamples() {
        ServerState state = list("engine", 1);
        serve(state, 30, 16);
        speeds.applyGossip("peer", true, List.of(told(1, 400_000, 2)), nowNanos);
        speeds.refresh(nowNanos);
        assertThat(prefillSpeed(state)).isCloseTo(30, within(4.0));
    }

    /** Guards against values that two entries tell each other again and again, and against bytes without news. */
    @Test
    void shouldAnnounceOwnChangesOnlyAndNothingThatWasHeard() {
        ServerState state = list("engine", 1);
        speeds.applyGossip("peer", true, List.of(told(1, 30_000, 8)), nowNanos);
        assertThat(speeds.gossip(true, nowNanos)).isEmpty();
        serve(state, 30, 16);
        assertThat(speeds.gossip(false, nowNanos)).hasSize(1);
        speeds.markAnnounced();
        serve(state, 31, 16);
        assertThat(speeds.gossip(false, nowNanos)).isEmpty();
        assertThat(speeds.gossip(true, nowNanos)).hasSize(1);
        serve(state, 15, 16);
        assertThat(speeds.gossip(false, nowNanos)).hasSize(1);
    }
}

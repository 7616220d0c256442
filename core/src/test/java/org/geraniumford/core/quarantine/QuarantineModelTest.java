package org.geraniumford.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class QuarantineModelTest {
    private static final long CONTACT_NANOS = 3 * ModelDeployment.SECOND;
    private static final Duration LONG_DAY = Duration.ofMinutes(10);
    private static final Duration SHORT_DAY = Duration.ofSeconds(90);
    private static final double SOUND_PER_SECOND = 20;

    record Scenario(int entries, double badPerSecond, long maxDelayMillis, double lossFraction, boolean restarts) {
        ModelDeployment play(long seed, Duration day) {
            ModelDeployment deployment = new ModelDeployment(entries, maxDelayMillis, lossFraction, seed);
            deployment.sendRequests(SOUND_PER_SECOND, ModelDeployment.soundPrompts());
            deployment.sendRequests(badPerSecond, ModelDeployment.badPrompts());
            if (restarts) {
                deployment.restartAnEntryEvery(Duration.ofSeconds(20));
            }
            deployment.runUntil(day);
            return deployment;
        }
    }

    static Stream<Scenario> scenarios() {
        return Stream.of(2, 4, 8)
                .flatMap(entries -> Stream.of(1.0, 6.0, 20.0, 40.0)
                        .flatMap(rate -> Stream.of(
                                new Scenario(entries, rate, 20, 0, false),
                                new Scenario(entries, rate, 500, 0, false),
                                new Scenario(entries, rate, 500, 0.1, true))));
    }

    // -- requests with a bad segment

    /** Guards against a segment that ends engine after engine. */
    @ParameterizedTest
    @MethodSource("scenarios")
    void shouldLetAtMostThreeBadRequestsReachEnginesAfterTheFifthEnd(Scenario scenario) {
        for (long seed = 1; seed <= 3; seed++) {
            assertThat(badArrivalsAfterFifthEnd(scenario.play(seed, SHORT_DAY).record()))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(3);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {1, 6, 20, 40})
    void shouldLetAtMostThreeBadRequestsReachEnginesInALongDay(double badPerSecond) {
        ModelRecord record =
                new Scenario(8, badPerSecond, 500, 0.1, true).play(1, LONG_DAY).record();
        assertThat(badArrivalsAfterFifthEnd(record)).isLessThanOrEqualTo(3);
    }

    private static long badArrivalsAfterFifthEnd(ModelRecord record) {
        long fifthEnd = record.badEndNanos(5).orElse(Long.MAX_VALUE - CONTACT_NANOS);
        return record.badArrivals(fifthEnd + CONTACT_NANOS, Long.MAX_VALUE);
    }

    /** Half as often as otherwise is the target; without the fault all sound requests are begun. */
    @ParameterizedTest
    @MethodSource("scenarios")
    void shouldBeginMostSoundRequestsThatShareTheOtherSegments(Scenario scenario) {
        ModelRecord record = scenario.play(6, SHORT_DAY).record();
        long fifthOrLastEnd = record.badEndNanos(Math.min(5, record.badEnds())).orElseThrow();
        assertThat(record.begunFraction(fifthOrLastEnd + 2 * CONTACT_NANOS)).isGreaterThan(0.5);
        assertThat(record.begunFraction(fifthOrLastEnd)).isGreaterThan(0.5);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 4, 8})
    void shouldHoldAtAllEntriesAsSoonAsTheGossipHasReachedThem(int entries) {
        long delay = 500 * ModelDeployment.MILLI;
        long announcement = 10 * ModelDeployment.MILLI;
        long sending = 5 * ModelDeployment.MILLI;
        for (long seed = 1; seed <= 5; seed++) {
            ModelRecord record = new Scenario(entries, 40, 500, 0, false)
                    .play(seed, SHORT_DAY)
                    .record();
            long firstHold = record.firstHoldNanos(ModelDeployment.BAD_SEGMENT).orElseThrow();
            assertThat(record.badArrivals(
                            firstHold + announcement + delay + sending, firstHold + 2 * ModelDeployment.SECOND))
                    .as("seed %d", seed)
                    .isZero();
        }
    }

    // -- engines that end for another reason

    @ParameterizedTest
    @ValueSource(ints = {4, 10})
    void shouldHoldNoSegmentForLongWhenManyEnginesEndTogether(int endedEngines) {
        List<List<Long>> prompts = ModelDeployment.promptsWithRareSegments(100);
        for (long seed = 1; seed <= 10; seed++) {
            ModelDeployment deployment = new ModelDeployment(8, 500, 0, seed);
            deployment.sendRequests(40, prompts);
            deployment.endEngines(Duration.ofSeconds(5), endedEngines);
            deployment.runUntil(Duration.ofSeconds(60));
            assertThat(deployment.record().largestHeldCount()).isLessThanOrEqualTo(2);
            assertThat(heldAnywhere(deployment, prompts)).isZero();
        }
    }

    private static long heldAnywhere(ModelDeployment deployment, List<List<Long>> prompts) {
        return prompts.stream()
                .flatMap(List::stream)
                .distinct()
                .filter(deployment::isHeldAnywhere)
                .count();
    }

    // -- entries among themselves

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldReachTheSameStateWhateverTheOrderOfTheAnnouncements(long seed) {
        List<QuarantineGossip> announcements = announcements(new Random(seed));
        SegmentQuarantine first = applied(announcements.stream());
        SegmentQuarantine reversed = applied(IntStream.range(0, announcements.size())
                .mapToObj(i -> announcements.get(announcements.size() - 1 - i)));
        SegmentQuarantine repeated = applied(Stream.concat(announcements.stream(), announcements.stream()));
        assertThat(reversed.gossip(0).suspects()).isEqualTo(first.gossip(0).suspects());
        assertThat(repeated.gossip(0).suspects()).isEqualTo(first.gossip(0).suspects());
    }

    private static List<QuarantineGossip> announcements(Random random) {
        return Stream.generate(() -> {
                    int level = random.nextInt(6);
                    int cleared = random.nextInt(level + 1);
                    return new SuspectSegment(random.nextInt(3), level, cleared, random.nextInt(1000), List.of());
                })
                .limit(20)
                .map(suspect -> new QuarantineGossip(List.of(suspect), List.of()))
                .toList();
    }

    private static SegmentQuarantine applied(Stream<QuarantineGossip> announcements) {
        SegmentQuarantine quarantine = SegmentQuarantine.empty("entry", new RecordedChanges());
        announcements.forEach(gossip -> quarantine.applyGossip("peer", gossip, 0));
        return quarantine;
    }
}

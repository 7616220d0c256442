package org.geraniumford.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.geraniumford.daemon.weights.SimulatedRollout.Entry;
import org.geraniumford.daemon.weights.SimulatedRollout.StoreAccess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against engines that keep old weights for too long, because the entry that orders them fails meanwhile or
 * because they drain for long.
 */
final class VersionTakeoverTest {
    private static final int ENTRIES = 8;
    private static final int ENGINES = 18;

    /** The time within which the deployment expects all engines but one to have new weights. */
    private static final long BOUND_MILLIS = 11_000;

    private static final long LIMIT_MILLIS = 30_000;

    /** Longer than the time after its start for which an entry orders nothing. */
    private static final long START_TIME_MILLIS = 8000;

    private static final long TIME_TO_FIRST_ORDERS_MILLIS = 200;

    private final SimulatedRollout rollout = new SimulatedRollout(ENTRIES, ENGINES, 1);

    private boolean isInPlace(int version) {
        return rollout.enginesBehind(version) <= 1;
    }

    /**
     * Lets something befall the holder once it has sent its first orders, and returns when the weights are in place.
     */
    private long rolloutTime(Consumer<Entry> trouble) {
        rollout.publish(2);
        rollout.run(TIME_TO_FIRST_ORDERS_MILLIS);
        trouble.accept(rollout.holder());
        return TIME_TO_FIRST_ORDERS_MILLIS + rollout.runUntil(() -> isInPlace(2), LIMIT_MILLIS);
    }

    @Test
    void shouldHaveNewWeightsInTimeWhenTheHolderEnds() {
        rollout.run(START_TIME_MILLIS);
        assertThat(rolloutTime(holder -> holder.setRunning(false))).isLessThan(BOUND_MILLIS);
    }

    @Test
    void shouldHaveNewWeightsInTimeWhenTheHolderEndsAndItsOrdersAreLost() {
        rollout.run(START_TIME_MILLIS);
        rollout.holder().loseOrders();
        assertThat(rolloutTime(holder -> holder.setRunning(false))).isLessThan(BOUND_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {500, 1000, 1900, 3000, 5000})
    void shouldHaveNewWeightsInTimeWhenTheHolderStandsStill(long millis) {
        rollout.run(START_TIME_MILLIS);
        assertThat(rolloutTime(holder -> holder.stopFor(millis))).isLessThan(BOUND_MILLIS);
    }

    @ParameterizedTest
    @EnumSource(StoreAccess.class)
    void shouldHaveNewWeightsInTimeWhenTheStoreTreatsTheHolderBadly(StoreAccess access) {
        rollout.run(START_TIME_MILLIS);
        assertThat(rolloutTime(holder -> holder.setStoreAccess(access))).isLessThan(BOUND_MILLIS);
    }

    @Test
    void shouldHaveNewWeightsInTimeWhenNoOrderOfTheHolderArrives() {
        rollout.run(START_TIME_MILLIS);
        rollout.holder().loseOrders();
        assertThat(rolloutTime(holder -> {})).isLessThan(BOUND_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1500, 3000, 4500, 6000, 8000})
    void shouldHaveNewWeightsInTimeWhenEnginesDrainForLong(long drainMillis) {
        rollout.run(START_TIME_MILLIS);
        rollout.engines().forEach(engine -> engine.setDrainMillis(drainMillis));
        assertThat(rolloutTime(holder -> {})).isLessThan(BOUND_MILLIS);
    }

    @ParameterizedTest
    @CsvSource({"0, 3200", "1500, 3200", "3000, 3200", "4500, 3200", "6000, 3200", "4500, 2000", "4500, 5000"})
    void shouldHaveEachVersionInTimeWhenTheyFollowEachOther(long drainMillis, long intervalMillis) {
        rollout.run(START_TIME_MILLIS);
        rollout.engines().forEach(engine -> engine.setDrainMillis(drainMillis));
        List<Long> times = timesOfSuccession(List.of(2, 3, 4, 5), intervalMillis);
        assertThat(times).allMatch(millis -> millis < BOUND_MILLIS);
    }

    /** Publishes versions at an interval, and returns for each after what time it is in place. */
    private List<Long> timesOfSuccession(List<Integer> versions, long intervalMillis) {
        long[] inPlaceMillis = new long[versions.size()];
        long beginMillis = rollout.nowMillis();
        int published = 0;
        while (rollout.nowMillis() - beginMillis < LIMIT_MILLIS) {
            if (published < versions.size() && rollout.nowMillis() - beginMillis >= published * intervalMillis) {
                rollout.publish(versions.get(published++));
            }
            rollout.run(1);
            for (int i = 0; i < versions.size(); i++) {
                if (!isInPlace(versions.get(i))) {
                    inPlaceMillis[i] = rollout.nowMillis() - beginMillis - i * intervalMillis;
                }
            }
        }
        return IntStream.range(0, versions.size())
                .mapToObj(i -> inPlaceMillis[i])
                .toList();
    }
}

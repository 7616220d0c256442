package org.geraniumford.core.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.geraniumford.core.time.SharedClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ConfigurationFreshnessTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long START = 50_000;

    /** Requests are refused for 2 s, and the entry asks after 3.2 s. */
    private static final FreshnessBounds BOUNDS = FreshnessBounds.of(Duration.ofSeconds(2), Duration.ofSeconds(4));

    private long localMillis = 7;
    private final SharedClock clock = SharedClock.of(() -> localMillis * NANOS_PER_MILLI);
    private final ConfigurationFreshness freshness = ConfigurationFreshness.of(clock, BOUNDS);

    @BeforeEach
    void readTable() {
        clock.observe(START);
        freshness.recordTableRead(5, START);
    }

    private static ConfirmedConfiguration told(long version, long millis) {
        return new ConfirmedConfiguration(version, millis, 0);
    }

    @Test
    void shouldRefuseForTheTimeInWhichANewerVersionNeedNotBeInForce() {
        assertThat(freshness.allowsRefusal(5)).isTrue();
        localMillis += 2000;
        assertThat(freshness.allowsRefusal(5)).isTrue();
        localMillis++;
        assertThat(freshness.allowsRefusal(5)).isFalse();
    }

    @Test
    void shouldAskBeforeItIsInTouchAgain() {
        localMillis += 3200;
        assertThat(freshness.mustAsk(5)).isFalse();
        localMillis++;
        assertThat(freshness.mustAsk(5)).isTrue();
    }

    @Test
    void shouldNeitherAskNorStopRefusingWhilePeersConfirmTheVersion() {
        localMillis += 10_000;
        freshness.recordGossip(told(5, START + 9000));
        assertThat(freshness.ageMillis(5)).isEqualTo(1000);
        assertThat(freshness.mustAsk(5)).isFalse();
        assertThat(freshness.allowsRefusal(5)).isTrue();
    }

    @Test
    void shouldNotTakeTheConfirmationOfAnotherVersionForOneOfItsOwn() {
        localMillis += 3201;
        freshness.recordGossip(told(4, START + 3200));
        assertThat(freshness.mustAsk(5)).isTrue();
        freshness.recordGossip(told(6, START + 3200));
        assertThat(freshness.allowsRefusal(5)).isFalse();
        assertThat(freshness.ageMillis(6)).isEqualTo(1);
    }

    @Test
    void shouldRefuseNothingOnceANewerVersionIsHeardOfAndAskIfItDoesNotArrive() {
        localMillis += 10;
        freshness.recordAnnounced(6);
        assertThat(freshness.allowsRefusal(5)).isFalse();
        assertThat(freshness.mustAsk(5)).isFalse();
        localMillis += 200;
        assertThat(freshness.mustAsk(5)).isTrue();
        freshness.recordTableRead(6, START + 210);
        assertThat(freshness.allowsRefusal(6)).isTrue();
        assertThat(freshness.mustAsk(6)).isFalse();
    }

    /** A peer that is wrong must not keep this entry from refusing, nor make it ask again and again. */
    @Test
    void shouldForgetANewerVersionThatTheTableDoesNotHave() {
        localMillis += 10;
        freshness.recordGossip(told(Long.MAX_VALUE, START + 5));
        freshness.recordTableRead(5, START + 9);
        assertThat(freshness.allowsRefusal(5)).as("read before it was heard of").isFalse();
        freshness.recordTableRead(5, START + 10);
        assertThat(freshness.allowsRefusal(5)).isTrue();
        freshness.recordGossip(told(5, START + 10));
        localMillis += 2000;
        assertThat(freshness.ageMillis(5)).isEqualTo(2000);
    }

    @Test
    void shouldNotBelieveAVersionOnceMoreThatTheTableDoesNotHave() {
        localMillis += 10;
        freshness.recordGossip(told(Long.MAX_VALUE, START + 5));
        freshness.recordTableRead(5, START + 10);
        freshness.recordGossip(told(Long.MAX_VALUE, START + 10));
        assertThat(freshness.allowsRefusal(5)).isTrue();
        localMillis += 4000;
        freshness.recordGossip(told(5, START + 3000));
        assertThat(freshness.ageMillis(5)).isEqualTo(1010);
    }

    /** Guards against an entry that starts from a copy of the store, and confirms what its peers have replaced. */
    @Test
    void shouldNotRefuseByATableThatMayLackWhatPeersHaveInForce() {
        freshness.recordNewEra();
        localMillis += 10;
        freshness.recordGossip(told(6, START + 5));
        freshness.recordTableRead(5, START + 10);
        assertThat(freshness.allowsRefusal(5)).isFalse();
        localMillis += 9000;
        freshness.recordTableRead(5, START + 9010);
        assertThat(freshness.allowsRefusal(5)).isFalse();
        localMillis += 1000;
        freshness.recordTableRead(5, START + 10_010);
        assertThat(freshness.allowsRefusal(5))
                .as("the operator has written again")
                .isTrue();
    }

    @Test
    void shouldNotBelieveAConfirmationOfTheFuture() {
        localMillis += 1000;
        freshness.recordGossip(told(5, Long.MAX_VALUE));
        assertThat(freshness.ageMillis(5)).isZero();
        localMillis += 1500;
        assertThat(freshness.ageMillis(5)).isEqualTo(1500);
    }

    @Test
    void shouldTellPeersItsLatestConfirmationWithItsAge() {
        localMillis += 400;
        assertThat(freshness.gossip(5)).isEqualTo(new ConfirmedConfiguration(5, START, 400));
        assertThat(freshness.gossip(6)).isEqualTo(ConfirmedConfiguration.NONE);
    }

    @Test
    void shouldRefuseNothingBeforeTheFirstConfirmation() {
        ConfigurationFreshness started = ConfigurationFreshness.of(SharedClock.of(() -> 0), BOUNDS);
        assertThat(started.allowsRefusal(0)).isFalse();
        assertThat(started.allowsRefusal(5)).isFalse();
        assertThat(started.gossip(5)).isEqualTo(ConfirmedConfiguration.NONE);
    }

    /** An entry that started while the store was away learns the shared clock from its peers. */
    @Test
    void shouldCountAPeersConfirmationBeforeItHasReadTheClock() {
        ConfigurationFreshness started =
                ConfigurationFreshness.of(SharedClock.of(() -> localMillis * NANOS_PER_MILLI), BOUNDS);
        started.recordGossip(new ConfirmedConfiguration(5, START, 300));
        assertThat(started.ageMillis(5)).isEqualTo(300);
    }
}

package org.geraniumford.daemon.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.ScopedSegment;
import org.geraniumford.core.quarantine.QuarantineListener;
import org.geraniumford.core.quarantine.SegmentQuarantine;
import org.geraniumford.core.time.LocalClock;
import org.geraniumford.core.weights.LeaseRow;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.LeaseVersions;
import org.geraniumford.core.weights.WeightsLease;
import org.geraniumford.daemon.gateway.GatewayState;
import org.geraniumford.daemon.weights.EngineAdmin;
import org.geraniumford.daemon.weights.EngineReport;
import org.geraniumford.daemon.weights.LeaseStore;
import org.geraniumford.daemon.weights.RolloutController;
import org.geraniumford.daemon.weights.RolloutTimes;
import org.geraniumford.daemon.weights.WeightsOrder;
import org.junit.jupiter.api.Test;

final class GossipExchangeTest {
    private static final InetSocketAddress OWN_ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final GatewayState state = GatewayState.empty("here");
    private final GossipExchange exchange = exchange(channel.eventLoop());

    private GossipExchange exchange(EventLoop loop) {
        return GossipExchange.of(
                "host",
                state,
                SegmentQuarantine.empty("host", new IgnoredChanges()),
                new NoConfiguration(),
                rollout(),
                loop,
                Runnable::run,
                OWN_ADDRESS);
    }

    private RolloutController rollout() {
        return RolloutController.of(
                "host",
                state,
                new NoLeases(),
                new NoEngines(),
                new RolloutTimes(Duration.ofSeconds(1), Duration.ofSeconds(8)),
                LocalClock.system(),
                new Random(1));
    }

    /** What was announced is no longer waiting to be announced. */
    private boolean isAnnounced() {
        return state.cacheStores().savedSegments().unannounced().isEmpty();
    }

    private void advanceMillis(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /**
     * Guards against too little being served because many entries choose the same idle server by loads that were
     * announced some time ago.
     */
    @Test
    void shouldAnnounceAddedLoadWithinTenMillisecondsAndOnlyOnce() {
        state.cacheStores().recordSaved("10.0.0.1:80", List.of(new ScopedSegment(1, 100)), 0);
        exchange.scheduleGossip();
        exchange.scheduleGossip();
        advanceMillis(9);
        assertThat(isAnnounced()).isFalse();
        advanceMillis(1);
        assertThat(isAnnounced()).isTrue();
        state.cacheStores().recordSaved("10.0.0.1:80", List.of(new ScopedSegment(2, 100)), 0);
        advanceMillis(100);
        assertThat(isAnnounced()).isFalse();
        exchange.scheduleGossip();
        advanceMillis(10);
        assertThat(isAnnounced()).isTrue();
    }

    /** Guards against twice as many messages, which slow entries on small hosts fail to read after a restart. */
    @Test
    void shouldLeaveOutOneRegularMessageWhenLoadWasAnnouncedSinceTheLastOne() {
        exchange.scheduleGossip();
        advanceMillis(10);
        state.cacheStores().recordSaved("10.0.0.1:80", List.of(new ScopedSegment(1, 100)), 0);
        exchange.sendGossip();
        assertThat(isAnnounced()).isFalse();
        exchange.sendGossip();
        assertThat(isAnnounced()).isTrue();
    }

    // -- stand-ins

    private static final class IgnoredChanges implements QuarantineListener {
        @Override
        public void changed() {
            // Nothing is announced in these tests.
        }

        @Override
        public void held(long segment, int count, Duration hold) {
            throw new AssertionError("no engine ends");
        }

        @Override
        public void released(long segment) {
            throw new AssertionError("no engine ends");
        }
    }

    private static final class NoConfiguration implements ConfigurationRelay {
        @Override
        public long version() {
            return 0;
        }

        @Override
        public Optional<String> document() {
            return Optional.empty();
        }

        @Override
        public void applyDocument(String document, String peer) {
            throw new AssertionError("no peer sends a configuration");
        }
    }

    private static final class NoLeases implements LeaseStore {
        @Override
        public CompletableFuture<LeaseRow> read() {
            return CompletableFuture.completedFuture(new LeaseRow(LeaseSnapshot.empty(), 0, 0));
        }

        @Override
        public CompletableFuture<OptionalLong> write(LeaseVersions expected, WeightsLease lease) {
            return CompletableFuture.completedFuture(OptionalLong.empty());
        }

        @Override
        public long nowMillis() {
            return 0;
        }
    }

    private static final class NoEngines implements EngineAdmin {
        @Override
        public CompletableFuture<EngineReport> report(BackendServer server) {
            throw new AssertionError("there is no engine");
        }

        @Override
        public CompletableFuture<Boolean> order(BackendServer server, WeightsOrder order, BooleanSupplier permission) {
            throw new AssertionError("there is no engine");
        }
    }
}

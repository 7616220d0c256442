package org.geraniumford.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.geraniumford.core.store.StoreVersion;
import org.geraniumford.core.weights.LeaseRow;
import org.geraniumford.core.weights.LeaseSnapshot;
import org.geraniumford.core.weights.LeaseTerm;
import org.geraniumford.core.weights.OrderSpacing;
import org.geraniumford.core.weights.WeightsLease;
import org.junit.jupiter.api.Test;

/** Guards against rollouts that stop during a rolling release, because earlier programs write the lease alone. */
final class KnownLeaseTest {
    private static final OrderSpacing SPACING = new OrderSpacing(Duration.ofMillis(1800), Duration.ofMillis(3200));

    private final VirtualClock clock = new VirtualClock();
    private final KnownLease known = new KnownLease("here", "process", clock, SPACING, Duration.ZERO);

    /** The row as a holder with an earlier program renews it. */
    private static LeaseSnapshot renewedByEarlierProgram(long version) {
        LeaseTerm term = new LeaseTerm(8, "earlier", "p");
        return new LeaseSnapshot(version, new WeightsLease(term, false, List.of(), 0, version - 1).encode());
    }

    /** A newer program wrote the row at version 19; a holder with an earlier program has renewed it since. */
    @Test
    void shouldKnowTheHolderOfAnEarlierProgramAfterANewerOneWroteTheRow() {
        known.applyRead(new LeaseRow(renewedByEarlierProgram(20), 20, 19), clock.nanos());
        known.applyGossip(renewedByEarlierProgram(21));
        known.applyGossip(renewedByEarlierProgram(22));
        assertThat(known.lease().term().holder()).isEqualTo("earlier");
    }

    @Test
    void shouldOrderOnceTheSpacingHasPassedSinceTheRowWasFirstFoundChanged() {
        known.applyRead(new LeaseRow(renewedByEarlierProgram(20), 20, 19), clock.nanos());
        for (long version = 21; version < 27; version++) {
            clock.advance(900);
            known.applyGossip(renewedByEarlierProgram(version));
        }
        assertThat(known.allowsOrder("engine", known.nextTerm())).isTrue();
    }

    // -- eras of the store

    private static long version(long era, long number) {
        return new StoreVersion(era, number).ordinal();
    }

    private static LeaseRow row(long token, long version, long replacedVersion) {
        WeightsLease lease = new WeightsLease(new LeaseTerm(token, "other", "p"), false, List.of(), 0, replacedVersion);
        return new LeaseRow(new LeaseSnapshot(version, lease.encode()), version, version);
    }

    /** A process that has just started knows nothing of the row's values after the copy was taken. */
    @Test
    void shouldNotOrderWithinTheSpacingWhenTheRowIsOfAnEarlierEra() {
        known.applyRead(row(7, version(2, 30), version(1, 28)), clock.nanos());
        assertThat(known.allowsOrder("engine", known.nextTerm())).isFalse();
        assertThat(known.nextTerm().fencingToken()).isGreaterThanOrEqualTo(version(2, 30));
        clock.advance(SPACING.total().toMillis() + 1);
        assertThat(known.allowsOrder("engine", known.nextTerm())).isTrue();
    }

    @Test
    void shouldKnowTheHolderWhenTheRowWasWrittenInTheEraInWhichItIsRead() {
        known.applyRead(row(7, version(2, 30), version(2, 28)), clock.nanos());
        assertThat(known.lease().term().holder()).isEqualTo("other");
    }

    /** The first write of an era replaces no row. */
    @Test
    void shouldKnowTheHolderThatWroteTheFirstRowOfAnEra() {
        known.applyRead(row(7, version(1, 300), version(1, 290)), clock.nanos());
        KnownLease first = new KnownLease("other", "p", clock, SPACING, Duration.ZERO);
        first.applyRead(new LeaseRow(LeaseSnapshot.empty(), version(2, 20), 0), clock.nanos());
        WeightsLease written = first.renewedWith(first.nextTerm(), List.of());
        known.applyGossip(new LeaseSnapshot(version(2, 21), written.encode()));
        assertThat(known.lease().term().holder()).isEqualTo("other");
    }

    @Test
    void shouldIgnoreWhatAPeerTellsOfAnEarlierEra() {
        known.applyRead(row(version(2, 30), version(2, 31), version(2, 30)), clock.nanos());
        known.applyGossip(new LeaseSnapshot(
                version(1, 400),
                row(7, version(1, 400), version(1, 390)).snapshot().encodedLease()));
        assertThat(known.rowVersion()).isEqualTo(version(2, 31));
    }

    /** Guards against a faulty peer after whose message each write of the row fails here. */
    @Test
    void shouldIgnoreAVersionThatNoStoreGivesOut() {
        known.applyRead(row(7, version(2, 30), version(2, 28)), clock.nanos());
        known.applyGossip(new LeaseSnapshot(
                Long.MAX_VALUE,
                row(8, version(2, 31), version(2, 30)).snapshot().encodedLease()));
        assertThat(known.rowVersion()).isEqualTo(version(2, 30));
    }
}

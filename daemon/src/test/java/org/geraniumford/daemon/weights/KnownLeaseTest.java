package org.geraniumford.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
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
}

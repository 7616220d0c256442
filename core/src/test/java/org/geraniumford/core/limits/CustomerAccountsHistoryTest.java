package org.geraniumford.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Compares the accounts with the plain rule in seeded histories of the load of a customer with up to 7 times its limit,
 * in requests of up to 39,600 tokens.
 */
final class CustomerAccountsHistoryTest {
    /**
     * Few enough for about 10 s on a busy machine; -Dquota.histories=10000 runs as many as the specification asks for.
     */
    private static final int HISTORIES = Integer.getInteger("quota.histories", 5000);

    private static final List<QuotaHistory.Faults> FAULTS = List.of(QuotaHistory.Faults.values());
    private static final List<QuotaHistory.Demand> DEMANDS = List.of(QuotaHistory.Demand.values());

    /** Guards against more use than the bound in any window, whatever fails, and against less than is allowed. */
    @Test
    void shouldKeepTheBoundAndUseTheAllowanceInEveryHistory() {
        List<String> broken = LongStream.range(0, HISTORIES)
                .parallel()
                .mapToObj(CustomerAccountsHistoryTest::problem)
                .filter(problem -> !problem.isEmpty())
                .toList();
        assertThat(broken).as("%d of %d histories", broken.size(), HISTORIES).isEmpty();
    }

    private static String problem(long seed) {
        QuotaHistory.Faults faults = FAULTS.get((int) (seed % FAULTS.size()));
        QuotaHistory.Demand demand = DEMANDS.get((int) (seed / FAULTS.size() % DEMANDS.size()));
        QuotaHistory history = QuotaHistory.run(seed, faults, demand);
        boolean sound = faults == QuotaHistory.Faults.NONE;
        if (history.worstExcess() > 0) {
            return "seed " + seed + ": exceeds the bound by " + history.worstExcess() + ": " + history;
        }
        if (sound && demand == QuotaHistory.Demand.ABOVE_LIMIT && history.usedRatio() < 0.95) {
            return "seed " + seed + ": uses " + history.usedRatio() + ": " + history;
        }
        if (sound && demand == QuotaHistory.Demand.WITHIN_LIMIT && history.refusals() > 0) {
            return "seed " + seed + ": refuses " + history.refusals() + ": " + history;
        }
        return "";
    }
}

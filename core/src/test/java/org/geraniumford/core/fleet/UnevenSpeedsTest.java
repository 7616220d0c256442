package org.geraniumford.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.geraniumford.core.fleet.EngineQueues.Kind;
import org.geraniumford.core.fleet.EngineQueues.Served;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays short and long prompts, 7 and 3 of 10, at three quarters of what four engines of together 100 tokens per ms
 * can prefill.
 */
final class UnevenSpeedsTest {
    private static final Kind SHORT = new Kind("short", 198, 628, 58, 0, 607);
    private static final Kind LONG = new Kind("long", 6300, 2890, 10, 1, 615);
    private static final double PER_SECOND = 0.75 * 100_000 / (0.7 * 628 + 0.3 * 2890);
    private static final double WARM_UP_MS = 20_000;
    private static final double END_MS = 140_000;

    private static List<Served> run(long seed, double... tokensPerMs) {
        EngineQueues queues = new EngineQueues(seed, tokensPerMs);
        queues.arrive(SHORT, 0, END_MS, 0.7 * PER_SECOND);
        queues.arrive(LONG, 0, END_MS, 0.3 * PER_SECOND);
        queues.run();
        return queues.served().stream()
                .filter(served -> served.sentMs() > WARM_UP_MS)
                .toList();
    }

    private static double ninetiethPercentile(List<Served> served) {
        double[] sorted = served.stream().mapToDouble(Served::firstMs).sorted().toArray();
        return sorted[sorted.length * 9 / 10];
    }

    /** Guards against slow engines that get as much as fast ones, and against queues at the fast ones only. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldSendSlowEnginesTheirShareWhenOthersAreFourTimesAsFast(long seed) {
        List<Served> served = run(seed, 10, 10, 40, 40);
        long slow = served.stream().filter(one -> one.server().endsWith("-10")).count();
        double share = (double) slow / served.size();
        double ninetieth = ninetiethPercentile(served);
        double evenNinetieth = ninetiethPercentile(run(seed, 25, 25, 25, 25));
        assertThat(share).as("p90 %s, even %s", ninetieth, evenNinetieth).isCloseTo(0.20, within(0.03));
        assertThat(ninetieth).isLessThanOrEqualTo(1.2 * evenNinetieth);
    }
}

package org.geraniumford.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.transport.metrics.ReasonCounters;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a reason without its row in the operations page, or without its counters. */
final class OperationsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");

    @ParameterizedTest
    @EnumSource(Reason.class)
    void shouldHaveOneRowAndBothCountersWhenAReasonExists(Reason reason) throws IOException {
        SimpleMeterRegistry registry = new SimpleMeterRegistry();
        ReasonCounters counters = ReasonCounters.of(registry);
        counters.countRefusal(reason);
        counters.countRetry(reason);
        assertThat(Files.readAllLines(PAGE))
                .filteredOn(line -> line.startsWith("| `" + reason.label() + "` | " + reason.status() + " |"))
                .hasSize(1);
        assertThat(registry.get(ReasonCounters.REFUSALS)
                        .tag("reason", reason.label())
                        .counter()
                        .count())
                .isEqualTo(1);
        assertThat(registry.get(ReasonCounters.RETRIES)
                        .tag("reason", reason.label())
                        .counter()
                        .count())
                .isEqualTo(1);
    }
}

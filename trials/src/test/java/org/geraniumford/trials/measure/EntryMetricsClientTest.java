package org.geraniumford.trials.measure;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EntryMetricsClientTest {
    /** Guards against counting refusals as retries, and against listing reasons that had no retries. */
    @Test
    void shouldReturnOnlyReasonsWithRetriesWhenMetricsAreParsed() {
        String metrics = """
                # TYPE geraniumford_retries_total counter
                geraniumford_retries_total{reason="queue_full"} 3.0
                geraniumford_retries_total{reason="timeout"} 0.0
                geraniumford_refusals_total{reason="queue_full"} 7.0
                """;
        assertThat(EntryMetricsClient.parseRetries(metrics)).hasSize(1).containsEntry("queue_full", 3L);
    }
}

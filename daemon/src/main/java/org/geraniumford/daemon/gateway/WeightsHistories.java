package org.geraniumford.daemon.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.geraniumford.core.weights.PublishedWeights;
import org.geraniumford.core.weights.WeightsHistory;
import org.geraniumford.transport.log.LogEvent;

/** The published versions of each model's weights. Times are in nanoseconds of the clock that entries share. */
final class WeightsHistories {
    private final Map<String, WeightsHistory> byModel = new HashMap<>();

    private WeightsHistories() {}

    // -- construction

    static WeightsHistories empty() {
        return new WeightsHistories();
    }

    // -- queries

    /** Returns the history of a model; empty if nothing was published. */
    WeightsHistory of(String model) {
        return byModel.getOrDefault(model, WeightsHistory.empty());
    }

    /** Returns the newest published version of every model; a model without one is absent. */
    Map<String, Integer> newest() {
        return byModel.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().newest()));
    }

    /** Returns the versions that are announced to other entries. */
    List<PublishedWeights> gossip(long nowNanos) {
        return byModel.entrySet().stream()
                .flatMap(entry -> entry.getValue().gossip(entry.getKey(), nowNanos).stream())
                .toList();
    }

    // -- commands

    /**
     * Records a published version.
     *
     * @param published the model, the version, its time, and whether its publication was observed
     * @param source where the version was read, for the log
     * @param nowNanos the present time
     */
    void record(PublishedWeights published, String source, long nowNanos) {
        WeightsHistory history = byModel.computeIfAbsent(published.model(), model -> WeightsHistory.empty());
        if (published.version() > history.newest()) {
            LogEvent.of("weights_named")
                    .with("model", published.model())
                    .with("version", published.version())
                    .with("age_ms", published.ageMillis())
                    .with("witnessed", published.publicationObserved())
                    .with("source", source)
                    .info();
        }
        long publishedOrFoundNanos =
                Duration.ofMillis(published.publishedMillis()).toNanos();
        if (published.publicationObserved()) {
            history.recordPublished(published.version(), publishedOrFoundNanos, nowNanos);
        } else {
            history.recordInitial(published.version(), publishedOrFoundNanos, nowNanos);
        }
    }
}

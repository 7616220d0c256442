package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * When the versions of one model's weights were named. It answers engines that come back after a long absence with
 * weights that were replaced meanwhile: they get no request before they have loaded newer ones. Not thread-safe.
 */
public final class WeightsHistory {
    private static final int MAX_VERSIONS = 64;

    private final TreeMap<Integer, Long> namedNanos = new TreeMap<>();

    private WeightsHistory() {}

    // -- construction

    /**
     * Creates a history without versions.
     *
     * @return an empty history
     */
    public static WeightsHistory empty() {
        return new WeightsHistory();
    }

    // -- queries

    /**
     * Returns the newest version.
     *
     * @return the version; 0 if none was named
     */
    public int newest() {
        return namedNanos.isEmpty() ? 0 : namedNanos.lastKey();
    }

    /**
     * Returns how long ago the newest version was named.
     *
     * @param nowNanos the time
     * @return the age; zero if none was named
     */
    public Duration newestAge(long nowNanos) {
        return namedNanos.isEmpty()
                ? Duration.ZERO
                : Duration.ofNanos(nowNanos - namedNanos.lastEntry().getValue());
    }

    /**
     * Returns the oldest version on which a request may still begin.
     *
     * @param bound how long older weights may be used after a version was named
     * @param nowNanos the time
     * @return the newest version that was named longer ago than the bound; 0 if there is none
     */
    public int oldestAllowed(Duration bound, long nowNanos) {
        return namedNanos.entrySet().stream()
                .filter(named -> nowNanos - named.getValue() > bound.toNanos())
                .mapToInt(Map.Entry::getKey)
                .max()
                .orElse(0);
    }

    // -- commands

    /**
     * Notes that a version was named; the earliest time that is heard of stands.
     *
     * @param version the version
     * @param atNanos when
     */
    public void named(int version, long atNanos) {
        namedNanos.merge(version, atNanos, (known, told) -> known - told < 0 ? known : told);
        while (namedNanos.size() > MAX_VERSIONS) {
            namedNanos.remove(requireNonNull(namedNanos.firstKey()));
        }
    }
}

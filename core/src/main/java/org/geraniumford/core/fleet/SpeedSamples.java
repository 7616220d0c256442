package org.geraniumford.core.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The latest measurements of one quantity of a server. Their median ignores up to half of the weight in outliers, and
 * their weight decays with their age, so that a change of speed prevails within seconds. Not thread-safe.
 */
final class SpeedSamples {
    /** After this time a sample counts half, so that a slowdown is known before most of it is over. */
    private static final double HALF_LIFE_NANOS = 4e9;

    /** Older samples are dropped; a server that was slow once and got nothing since is then tried again. */
    private static final long MAX_AGE_NANOS = 60_000_000_000L;

    private static final int MAX_SAMPLES = 16;

    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * A measured value.
     *
     * @param value the value
     * @param weight its weight when it was measured
     * @param nanos when it was measured, from {@link System#nanoTime}
     */
    record Sample(double value, double weight, long nanos) {
        boolean isCurrent(long nowNanos) {
            return nowNanos - nanos < MAX_AGE_NANOS;
        }

        double weightAt(long nowNanos) {
            return weight * Math.pow(2, -Math.max(0, nowNanos - nanos) / HALF_LIFE_NANOS);
        }
    }

    private SpeedSamples() {}

    // -- construction

    static SpeedSamples empty() {
        return new SpeedSamples();
    }

    // -- queries

    /** Returns the samples that are not too old. */
    List<Sample> current(long nowNanos) {
        return samples.stream().filter(sample -> sample.isCurrent(nowNanos)).toList();
    }

    /** Returns the sum of the decayed weights. */
    double weight(long nowNanos) {
        return current(nowNanos).stream()
                .mapToDouble(sample -> sample.weightAt(nowNanos))
                .sum();
    }

    /** Returns the value below which half of the weight is; empty if there are no samples. */
    static OptionalDouble median(List<Sample> samples, long nowNanos) {
        List<Sample> sorted = new ArrayList<>(samples);
        sorted.sort(Comparator.comparingDouble(Sample::value));
        double half =
                sorted.stream().mapToDouble(sample -> sample.weightAt(nowNanos)).sum() / 2;
        double below = 0;
        for (Sample sample : sorted) {
            below += sample.weightAt(nowNanos);
            if (below >= half) {
                return OptionalDouble.of(sample.value());
            }
        }
        return OptionalDouble.empty();
    }

    // -- commands

    void add(double value, double weight, long nowNanos) {
        if (samples.size() == MAX_SAMPLES) {
            samples.removeFirst();
        }
        samples.addLast(new Sample(value, weight, nowNanos));
    }
}

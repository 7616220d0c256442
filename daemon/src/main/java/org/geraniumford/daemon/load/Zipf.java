package org.geraniumford.daemon.load;

import java.util.Arrays;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/** Chooses numbers from 0, the smaller ones more often: number i with a weight of (i + 1) to the power of -exponent. */
final class Zipf {
    private final double[] cumulative;

    private Zipf(double[] cumulative) {
        this.cumulative = cumulative;
    }

    static Zipf of(int size, double exponent) {
        double[] weights = IntStream.range(0, size)
                .mapToDouble(i -> Math.pow(i + 1, -exponent))
                .toArray();
        Arrays.parallelPrefix(weights, Double::sum);
        return new Zipf(weights);
    }

    int sample(RandomGenerator random) {
        double point = random.nextDouble() * cumulative[cumulative.length - 1];
        int found = Arrays.binarySearch(cumulative, point);
        int index = found >= 0 ? found + 1 : -found - 1;
        return Math.min(index, cumulative.length - 1);
    }
}

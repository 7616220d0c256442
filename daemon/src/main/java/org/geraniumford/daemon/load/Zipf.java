package org.geraniumford.daemon.load;

import java.util.Arrays;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/** Samples numbers from 0 by a Zipf distribution: number i has a weight of (i + 1) to the power of -exponent. */
final class Zipf {
    private final double[] cumulativeWeights;

    private Zipf(double[] cumulativeWeights) {
        this.cumulativeWeights = cumulativeWeights;
    }

    /** Creates a distribution of the numbers from 0 to {@code size - 1}; exponent 0 makes them equally likely. */
    static Zipf of(int size, double exponent) {
        double[] weights = IntStream.range(0, size)
                .mapToDouble(i -> Math.pow(i + 1, -exponent))
                .toArray();
        Arrays.parallelPrefix(weights, Double::sum);
        return new Zipf(weights);
    }

    int sample(RandomGenerator random) {
        double point = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        int position = Arrays.binarySearch(cumulativeWeights, point);
        int index = position >= 0 ? position + 1 : -position - 1;
        return Math.min(index, cumulativeWeights.length - 1);
    }
}

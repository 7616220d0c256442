package org.geraniumford.core.admission;

/**
 * A linear regression in which the weight of a sample decays exponentially with its age.
 *
 * @param meanX the mean of x
 * @param meanY the mean of y
 * @param varianceX the variance of x
 * @param covariance the covariance of x and y
 */
record LinearFit(double meanX, double meanY, double varianceX, double covariance) {
    /** The weight of the newest sample, from 0 to 1. */
    private static final double SMOOTHING_FACTOR = 0.05;

    /** The variance of x below which the slope counts as 0. */
    private static final double MIN_VARIANCE = 1;

    // -- construction

    /**
     * Returns a line with a given slope and intercept, as if fitted to samples in which x has a given mean and a
     * standard deviation equal to that mean.
     */
    static LinearFit of(double slope, double intercept, double meanX) {
        double variance = meanX * meanX;
        return new LinearFit(meanX, intercept + slope * meanX, variance, slope * variance);
    }

    // -- combinators

    LinearFit withSample(double x, double y) {
        double dx = x - meanX;
        double dy = y - meanY;
        return new LinearFit(
                meanX + SMOOTHING_FACTOR * dx,
                meanY + SMOOTHING_FACTOR * dy,
                (1 - SMOOTHING_FACTOR) * (varianceX + SMOOTHING_FACTOR * dx * dx),
                (1 - SMOOTHING_FACTOR) * (covariance + SMOOTHING_FACTOR * dx * dy));
    }

    // -- queries

    /** Predicts y; the result is never negative and never decreases with x. */
    double predict(double x) {
        return Math.max(0, meanY + slope() * (x - meanX));
    }

    private double slope() {
        return varianceX < MIN_VARIANCE ? 0 : Math.max(0, covariance / varianceX);
    }
}

package org.geraniumford.benchmarks.capacity;

import java.util.List;

/**
 * A straight line fitted to measured points by the method of least squares.
 *
 * @param slope the increase of the value per unit of size
 * @param intercept the value at size 0
 * @param rSquared the coefficient of determination; 1 if every point lies on the line
 */
record LinearRegression(double slope, double intercept, double rSquared) {
    /**
     * One measured point.
     *
     * @param size the size at which the value was measured
     * @param value the measured value
     */
    record Point(double size, double value) {}

    /**
     * Fits a line to points.
     *
     * @param points the measured points, of at least two different sizes
     * @return the fitted line; its coefficient of determination is 1 if all values are equal
     * @throws java.util.NoSuchElementException if there are no points
     */
    static LinearRegression of(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double deviationProductSum = points.stream()
                .mapToDouble(point -> (point.size() - meanSize) * (point.value() - meanValue))
                .sum();
        double squaredSizeDeviationSum = points.stream()
                .mapToDouble(point -> Math.pow(point.size() - meanSize, 2))
                .sum();
        double slope = deviationProductSum / squaredSizeDeviationSum;
        double intercept = meanValue - slope * meanSize;
        double squaredValueDeviationSum = points.stream()
                .mapToDouble(point -> Math.pow(point.value() - meanValue, 2))
                .sum();
        double squaredResidualSum = points.stream()
                .mapToDouble(point -> Math.pow(point.value() - intercept - slope * point.size(), 2))
                .sum();
        return new LinearRegression(
                slope,
                intercept,
                squaredValueDeviationSum == 0 ? 1 : 1 - squaredResidualSum / squaredValueDeviationSum);
    }
}

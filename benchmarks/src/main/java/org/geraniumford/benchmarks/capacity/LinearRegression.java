package org.geraniumford.benchmarks.capacity;

import java.util.List;

/**
 * A straight line through measured points, by least squares.
 *
 * @param slope the growth for one unit of size
 * @param intercept the value at size 0
 * @param rSquared the coefficient of determination, 1 for points on the line
 */
record LinearRegression(double slope, double intercept, double rSquared) {
    /** One measured point. */
    record Point(double size, double value) {}

    static LinearRegression of(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double products = points.stream()
                .mapToDouble(point -> (point.size() - meanSize) * (point.value() - meanValue))
                .sum();
        double squares = points.stream()
                .mapToDouble(point -> Math.pow(point.size() - meanSize, 2))
                .sum();
        double slope = products / squares;
        double intercept = meanValue - slope * meanSize;
        double total = points.stream()
                .mapToDouble(point -> Math.pow(point.value() - meanValue, 2))
                .sum();
        double left = points.stream()
                .mapToDouble(point -> Math.pow(point.value() - intercept - slope * point.size(), 2))
                .sum();
        return new LinearRegression(slope, intercept, total == 0 ? 1 : 1 - left / total);
    }
}

package org.geraniumford.benchmarks.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;

/**
 * The values of one quantity, measured at several sizes.
 *
 * @param name the name of the quantity
 * @param sizeUnit the noun for one unit of size, such as {@code runner}
 * @param unit the unit of the values, such as {@code us} for microseconds
 * @param points the sizes and the values measured at them
 */
record ScalingMeasurement(String name, String sizeUnit, String unit, List<LinearRegression.Point> points) {
    /**
     * Measures a quantity at each of several sizes.
     *
     * @param name the name of the quantity
     * @param sizeUnit the noun for one unit of size
     * @param unit the unit of the values
     * @param valueAtSize measures the value at a size
     * @param sizes the sizes, at least two different ones
     * @return the measured points
     */
    static ScalingMeasurement measure(
            String name, String sizeUnit, String unit, IntToDoubleFunction valueAtSize, int... sizes) {
        List<LinearRegression.Point> points = Arrays.stream(sizes)
                .mapToObj(size -> new LinearRegression.Point(size, valueAtSize.applyAsDouble(size)))
                .toList();
        return new ScalingMeasurement(name, sizeUnit, unit, points);
    }

    /** Returns the header of a Markdown table of measurements, without a line break at its end. */
    static String markdownHeader() {
        return "| quantity | unit | measured (size: value) | slope | at size 0 | fit R2 |\n|---|---|---|---|---|---|";
    }

    /** Returns the measured values and the fitted line as a row of a Markdown table. */
    String markdownRow() {
        LinearRegression regression = LinearRegression.of(points);
        String valuesBySize = points.stream()
                .map(point -> String.format(Locale.ROOT, "%.0f: %.4g", point.size(), point.value()))
                .collect(Collectors.joining(", "));
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %.4g per %s | %.4g | %.4f |",
                name,
                unit,
                valuesBySize,
                regression.slope(),
                sizeUnit,
                regression.intercept(),
                regression.rSquared());
    }
}

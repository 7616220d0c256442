package org.geraniumford.benchmarks.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;

/**
 * One quantity measured at several sizes.
 *
 * @param name what is measured
 * @param sizeUnit what the sizes count
 * @param unit the unit of the values
 * @param points the measured points
 */
record ScalingMeasurement(String name, String sizeUnit, String unit, List<LinearRegression.Point> points) {
    static ScalingMeasurement measure(String name, String size, String unit, IntToDoubleFunction value, int... sizes) {
        List<LinearRegression.Point> points = Arrays.stream(sizes)
                .mapToObj(one -> new LinearRegression.Point(one, value.applyAsDouble(one)))
                .toList();
        return new ScalingMeasurement(name, size, unit, points);
    }

    static String markdownHeader() {
        return "| quantity | unit | measured (size: value) | slope | at size 0 | fit R2 |\n|---|---|---|---|---|---|";
    }

    /** Returns the slope as a row of a Markdown table. */
    String markdownRow() {
        LinearRegression line = LinearRegression.of(points);
        String measured = points.stream()
                .map(point -> String.format(Locale.ROOT, "%.0f: %.4g", point.size(), point.value()))
                .collect(Collectors.joining(", "));
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %.4g per %s | %.4g | %.4f |",
                name,
                unit,
                measured,
                line.slope(),
                sizeUnit,
                line.intercept(),
                line.rSquared());
    }
}

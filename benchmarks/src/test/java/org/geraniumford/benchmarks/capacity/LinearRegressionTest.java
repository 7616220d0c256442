package org.geraniumford.benchmarks.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.geraniumford.core.configuration.ConfigurationParser;
import org.geraniumford.core.configuration.ParsedConfiguration;
import org.junit.jupiter.api.Test;

final class LinearRegressionTest {
    @Test
    void shouldReturnSlopeAndInterceptWhenPointsLieOnALine() {
        LinearRegression regression = LinearRegression.of(List.of(
                new LinearRegression.Point(1, 5), new LinearRegression.Point(2, 8), new LinearRegression.Point(4, 14)));
        assertThat(regression.slope()).isCloseTo(3, within(1e-9));
        assertThat(regression.intercept()).isCloseTo(2, within(1e-9));
        assertThat(regression.rSquared()).isCloseTo(1, within(1e-9));
    }

    @Test
    void shouldReturnALowRSquaredWhenAPointLiesOffTheLine() {
        LinearRegression regression = LinearRegression.of(List.of(
                new LinearRegression.Point(1, 5),
                new LinearRegression.Point(2, 20),
                new LinearRegression.Point(4, 14)));
        assertThat(regression.rSquared()).isLessThan(0.5);
    }

    /**
     * Guards against a generated configuration that the parser rejects. The measurement of the parser would then cover
     * only its error path.
     */
    @Test
    void shouldAcceptTheGeneratedConfigurationWhenItIsParsed() {
        assertThat(ConfigurationParser.parse(1, BenchmarkInputs.configuration(20)))
                .isInstanceOf(ParsedConfiguration.Accepted.class);
    }
}

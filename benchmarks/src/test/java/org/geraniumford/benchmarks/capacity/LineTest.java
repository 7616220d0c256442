package org.geraniumford.benchmarks.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.geraniumford.core.configuration.ConfigurationParser;
import org.geraniumford.core.configuration.ParsedConfiguration;
import org.junit.jupiter.api.Test;

final class LineTest {
    @Test
    void shouldFindSlopeAndInterceptWhenPointsLieOnALine() {
        Line line = Line.through(List.of(new Line.Point(1, 5), new Line.Point(2, 8), new Line.Point(4, 14)));
        assertThat(line.slope()).isCloseTo(3, within(1e-9));
        assertThat(line.intercept()).isCloseTo(2, within(1e-9));
        assertThat(line.fit()).isCloseTo(1, within(1e-9));
    }

    @Test
    void shouldShowAWorseFitWhenAPointLiesOffTheLine() {
        Line line = Line.through(List.of(new Line.Point(1, 5), new Line.Point(2, 20), new Line.Point(4, 14)));
        assertThat(line.fit()).isLessThan(0.5);
    }

    @Test
    void shouldBeAcceptedWhenTheSampleConfigurationIsParsed() {
        assertThat(ConfigurationParser.parse(1, Samples.configuration(20)))
                .isInstanceOf(ParsedConfiguration.Accepted.class);
    }
}

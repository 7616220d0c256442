package org.geraniumford.daemon.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ScenarioFilesTest {
    private static final Path SCENARIOS = Path.of("..", "scenarios");

    static List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(SCENARIOS)) {
            return files.sorted().toList();
        }
    }

    @ParameterizedTest
    @MethodSource("files")
    void shouldGenerateRequestsWhenReadingAScenarioOfTheRepository(Path file) throws IOException {
        Scenario scenario = ScenarioReader.read(file.toString(), Files.readAllBytes(file));
        assertThat(Trace.generate(scenario, 1)).isNotEmpty();
    }
}

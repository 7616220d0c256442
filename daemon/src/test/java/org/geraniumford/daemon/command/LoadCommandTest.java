package org.geraniumford.daemon.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadCommandTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);

    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvSource({
        "rate = 10, --print-configuration, OK, [customer customer-8]",
        "rate = 10, --seed=1, USAGE, --entry is missing",
        "rate = 10, --seed=x, USAGE, seed",
        "rate = x, --print-configuration, USAGE, load.ini:2: [traffic] rate",
    })
    void shouldReturnTheExitCodeAndPrintTheExpectedTextWhenRunWithAnOption(
            String trafficSetting, String option, ExitCode code, String expected) throws IOException {
        Path file = Files.writeString(folder.resolve("load.ini"), "[traffic]\n" + trafficSetting + "\n");
        assertThat(run(List.of("load", "--scenario", file.toString(), option))).isEqualTo(code);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains(expected);
    }

    private ExitCode run(List<String> arguments) {
        CommandLine commandLine = CommandLine.of("test", List.of(new LoadCommand()));
        return commandLine.run(new ArrayList<>(arguments), new Console(stream, stream));
    }
}

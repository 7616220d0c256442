package org.geraniumford.daemon.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumford.standins.platform.PlatformOptions;
import org.geraniumford.standins.platform.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ConfigCommandTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private PlatformStandIn platform;

    @TempDir
    private Path folder;

    @BeforeEach
    void start() throws IOException {
        platform = PlatformStandIn.start(PlatformOptions.ofDefaults());
        Files.writeString(folder.resolve("00-house.ini"), "[class check]\nrank = 0\nfirst_token_deadline_ms = 2000\n");
    }

    @AfterEach
    void stop() {
        platform.close();
    }

    // -- commands

    @Test
    void shouldApplyShowAndListVersionsWhenTheFolderChanges() throws IOException {
        assertThat(config("check", folder.toString())).isEqualTo(ExitCode.OK);
        assertThat(config("apply", folder.toString())).isEqualTo(ExitCode.OK);
        assertThat(config("apply", folder.toString())).isEqualTo(ExitCode.OK);
        Files.writeString(folder.resolve("10-brand.ini"), "[class check]\nrank = 3\n");
        assertThat(config("diff", folder.toString())).isEqualTo(ExitCode.OK);
        assertThat(config("apply", folder.toString(), "--base", "1")).isEqualTo(ExitCode.OK);
        assertThat(config("show")).isEqualTo(ExitCode.OK);
        assertThat(config("history")).isEqualTo(ExitCode.OK);
        assertThat(printed())
                .containsSubsequence(
                        "ok: 1 files",
                        "applied: version 1",
                        "unchanged: version 1",
                        "added    10-brand.ini",
                        "applied: version 2",
                        "rank = 3",
                        "VERSION",
                        "\n1 ",
                        "\n2 ");
    }

    @Test
    void shouldListTheDifferingFilesAndApplyNothingWhenTheBaseVersionIsOutdated() throws IOException {
        config("apply", folder.toString());
        Files.writeString(folder.resolve("10-brand.ini"), "[class check]\nrank = 3\n");
        config("apply", folder.toString());
        Files.delete(folder.resolve("10-brand.ini"));
        assertThat(config("apply", folder.toString(), "--base", "1")).isEqualTo(ExitCode.FAILED);
        assertThat(printed()).contains("nothing was applied: version 2 came first", "10-brand.ini");
    }

    // -- invalid input

    @ParameterizedTest
    @CsvSource({
        "check, '[class check]\nrnk = 0\n', FAILED, 00-house.ini:2",
        "apply, '[class check]\nrank = x\n', FAILED, 00-house.ini:2",
        "grow, '', USAGE, is not one of check"
    })
    void shouldReportTheProblemAndItsPlaceWhenTheInputIsInvalid(
            String action, String content, ExitCode code, String expected) throws IOException {
        Files.writeString(folder.resolve("00-house.ini"), content);
        assertThat(config(action, folder.toString())).isEqualTo(code);
        assertThat(printed()).contains(expected);
    }

    @Test
    void shouldFailWhenThePlatformDoesNotRespond() {
        platform.close();
        assertThat(config("history")).isEqualTo(ExitCode.FAILED);
        assertThat(printed()).contains("the platform does not answer");
    }

    // -- support

    private ExitCode config(String action, String... options) {
        List<String> arguments = Stream.concat(
                        Stream.of("config", action, "--platform", platform.uri().toString()), Stream.of(options))
                .toList();
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        return CommandLine.of("test", List.of(new ConfigCommand())).run(arguments, new Console(stream, stream));
    }

    private String printed() {
        return output.toString(StandardCharsets.UTF_8);
    }
}

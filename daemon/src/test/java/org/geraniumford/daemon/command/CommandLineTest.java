package org.geraniumford.daemon.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class CommandLineTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final Console console = new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));

    private ExitCode run(String... arguments) {
        return Main.commandLine().run(List.of(arguments), console);
    }

    @ParameterizedTest
    @CsvSource({
        "'', no command given",
        "frobnicate, unknown command frobnicate",
        "entry, Missing required option",
        "entry --settings, requires an argument",
        "entry --settings none.ini, none.ini: there is no such file",
        "sidecar --settings none.ini --check, none.ini: there is no such file",
        "entry --frob --settings x, frob is not a recognized option"
    })
    void shouldReturnUsageAndPrintOneLineWhenTheCommandLineIsInvalid(String commandLine, String message) {
        String[] arguments = commandLine.isEmpty() ? new String[0] : commandLine.split(" ");
        assertThat(run(arguments)).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains(message).hasLineCount(1);
    }

    @Test
    void shouldPrintHelpOfEachCommandWhenTheHelpOptionIsGiven() {
        assertThat(run("--help")).isEqualTo(ExitCode.OK);
        assertThat(Commands.all()).allSatisfy(command -> {
            assertThat(run(command.name(), "--help")).isEqualTo(ExitCode.OK);
            assertThat(out.toString(StandardCharsets.UTF_8)).contains("usage: geraniumford " + command.name());
        });
        assertThat(err.size()).isZero();
    }

    @Test
    void shouldReportEachProblemWithItsLineNumberWhenTheCheckedSettingsAreInvalid(@TempDir Path folder)
            throws Exception {
        Path file = Files.writeString(folder.resolve("s.ini"), "[process]\nid = a b\nwrong = 1\n");
        assertThat(run("sidecar", "--settings", file.toString(), "--check")).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8))
                .contains(file + ":2: [process] id")
                .contains(file + ":3: [process] wrong: unknown key");
    }
}

package org.geraniumford.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ConfigurationParserTest {
    private static final String KEY_DIGEST = "a".repeat(64);
    private static final String MODEL = "[model m]\nversion = m-1\nweights_digest = w\n";

    // -- accepted

    @Test
    void shouldReadEverySectionWhenTheExampleFolderIsParsed() throws IOException {
        Configuration configuration = accepted(ConfigurationParser.parse(3, MergedFolder.ofAll(exampleFolder())));
        assertThat(configuration.version()).isEqualTo(3);
        assertThat(configuration.digest()).isEqualTo(Sha256.hex(configuration.text()));
        assertThat(configuration.customers()).hasSize(8);
        assertThat(configuration.models()).hasSize(2);
        assertThat(configuration.customers().get("amahoro").weight()).isEqualTo(6);
        assertThat(configuration
                        .customersByKeyDigest()
                        .get(Sha256.hex("example-key-bole"))
                        .name())
                .isEqualTo("bole");
        assertThat(configuration.priorityClasses().get("check").firstTokenDeadline())
                .isEqualTo(Duration.ofSeconds(2));
        assertThat(configuration.services().get("ballots").isIdempotent("GET")).isTrue();
        assertThat(configuration.services().get("ballots").isIdempotent("POST")).isFalse();
    }

    @Test
    void shouldReturnAnEqualConfigurationWhenItsTextIsParsedAgain() throws IOException {
        Configuration first = accepted(ConfigurationParser.parse(3, MergedFolder.ofAll(exampleFolder())));
        assertThat(accepted(ConfigurationParser.parse(3, first.text()))).isEqualTo(first);
    }

    // -- rejected

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            [custmer c]~weight = 1              | 1 |                         | unknown section
            [customer]~weight = 1               | 1 |                         | unknown section
            [customer c]~wieght = 1             | 2 | wieght                  | unknown key
            [customer c]~weight = heavy         | 2 | weight                  | not a whole number
            [customer c]~weight = 0             | 2 | weight                  | 1 to 1000
            [customer c]~max_streams = -1       | 2 | max_streams             | out of range
            [customer c]~key_digests = abc      | 2 | key_digests             | 64 hexadecimal
            [customer c]~models = none          | 2 | models                  | no model is named none
            [customer c]~services = none        | 2 | services                | no service is named none
            [model m]~version = 1               | 1 | weights_digest          | required
            [class c]~first_token_deadline_ms=0 | 2 | first_token_deadline_ms | out of range
            """)
    void shouldReportLineKeyAndAllowedValuesWhenASectionIsInvalid(String text, int line, String key, String message) {
        List<ConfigurationProblem> problems = rejected(ConfigurationParser.parse(1, text.replace('~', '\n')));
        assertThat(problems).hasSize(1);
        assertThat(problems.get(0).line()).isEqualTo(line);
        assertThat(problems.get(0).key()).isEqualTo(key == null ? "" : key);
        assertThat(problems.get(0).message()).contains(message);
    }

    @Test
    void shouldReportEveryProblemWhenThereAreSeveral() {
        String text = MODEL + "[customer a]\nmodels = m, x\nkey_digests = " + KEY_DIGEST
                + "\n[customer b]\nkey_digests = " + KEY_DIGEST + "\nweight = 0\n[oops]\n";
        assertThat(rejected(ConfigurationParser.parse(1, text)))
                .extracting(ConfigurationProblem::line)
                .containsExactly(5, 8, 9, 10);
    }

    // -- data

    private static List<ConfigurationFile> exampleFolder() throws IOException {
        try (Stream<Path> paths = Files.list(Path.of("..", "examples", "configuration"))) {
            return paths.map(ConfigurationParserTest::file).toList();
        }
    }

    private static ConfigurationFile file(Path path) {
        try {
            return ConfigurationFile.of(path.getFileName().toString(), Files.readAllBytes(path));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Configuration accepted(ParsedConfiguration result) {
        assertThat(result).isInstanceOf(ParsedConfiguration.Accepted.class);
        return ((ParsedConfiguration.Accepted) result).configuration();
    }

    private static List<ConfigurationProblem> rejected(ParsedConfiguration result) {
        assertThat(result).isInstanceOf(ParsedConfiguration.Rejected.class);
        return ((ParsedConfiguration.Rejected) result).problems();
    }
}

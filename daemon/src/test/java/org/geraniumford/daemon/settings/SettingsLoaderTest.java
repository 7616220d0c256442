package org.geraniumford.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.geraniumford.core.ini.IniProblem;
import org.geraniumford.core.routing.RoutingPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettingsLoaderTest {
    private static final String ENTRY = """
            [process]
            id = entry-1
            failure_domain = kigali-a
            [listen]
            caller = 127.0.0.1:8080
            operator = 127.0.0.1:8081
            link = 127.0.0.1:8082
            [platform]
            address = http://127.0.0.1:9000
            [peers]
            seeds = 127.0.0.1:8092, [::1]:8093
            [tls]
            insecure = true
            """;

    @TempDir
    Path folder;

    private Path write(String text) throws IOException {
        return Files.writeString(folder.resolve("entry.ini"), text);
    }

    private List<String> problems(String text) throws IOException {
        Path file = write(text);
        SettingsException failure = catchThrowableOfType(SettingsException.class, () -> SettingsLoader.loadEntry(file));
        return failure.problems().stream()
                .map(IniProblem::toString)
                .map(line -> line.replace(file.toString(), "entry.ini"))
                .toList();
    }

    @Test
    void shouldReadTypedSettingsWhenTheFileIsComplete() throws Exception {
        EntrySettings settings = SettingsLoader.loadEntry(write(ENTRY));
        assertThat(settings.processId()).isEqualTo("entry-1");
        assertThat(settings.callerAddress()).isEqualTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), 8080));
        assertThat(settings.platform()).isEqualTo(URI.create("http://127.0.0.1:9000"));
        assertThat(settings.seeds()).hasSize(2);
        assertThat(settings.blockTokens()).isEqualTo(4000);
        assertThat(settings.routingPolicy()).isEqualTo(RoutingPolicy.PROBE);
        assertThat(settings.prefillTokensPerSecond()).isEqualTo(10_000);
        assertThat(settings.drainTimeout()).isEqualTo(Duration.ofMinutes(5));
        assertThat(settings.security()).isEqualTo(LinkSecurity.none());
    }

    @Test
    void shouldReportEveryProblemWhenSeveralLinesAreWrong() throws Exception {
        String broken = ENTRY.replace("id = entry-1", "id = two words")
                .replace("[peers]", "[pears]")
                .replace("address = http://127.0.0.1:9000", "addres = http://127.0.0.1:9000")
                .replace("insecure = true", "insecure = true\ninsecure = false");
        assertThat(problems(broken))
                .containsExactlyInAnyOrder(
                        "entry.ini:14: [tls] insecure: set already on line 13",
                        "entry.ini:2: [process] id: not allowed: 'two words'; allowed: 1 to 63 letters, digits,"
                                + " '.', '-' or '_', a letter or digit first",
                        "entry.ini: [platform] address: not set; allowed: http://HOST:PORT or https://HOST:PORT",
                        "entry.ini:9: [platform] addres: unknown key; allowed keys: address",
                        "entry.ini:11: [pears] seeds: unknown section; allowed sections: process, listen, engine,"
                                + " routing, limits, platform, peers, tls, shutdown");
    }

    @ParameterizedTest
    @CsvSource({
        "routing, policy, fastest",
        "listen, caller, localhost:80",
        "listen, caller, 127.0.0.1:65536",
        "listen, caller, 256.0.0.1:80",
        "listen, link, 127.0.0.1",
        "platform, address, ftp://127.0.0.1",
        "engine, piece_tokens, 0",
        "engine, piece_tokens, 1000001",
        "engine, piece_tokens, 4k",
        "limits, max_body, -1",
        "tls, insecure, yes",
        "shutdown, drain_timeout, 3600001",
        "peers, seeds, 127.0.0.1:1;127.0.0.1:2"
    })
    void shouldNameLineAndKeyWhenAValueIsNotAllowed(String section, String key, String value) throws Exception {
        String withoutKey = ENTRY.lines()
                .filter(line -> !line.startsWith(key + " ="))
                .reduce("", (text, line) -> text + line + "\n");
        String sectionHeader = "[" + section + "]\n";
        String text = withoutKey.contains(sectionHeader)
                ? withoutKey.replace(sectionHeader, sectionHeader + key + " = " + value + "\n")
                : withoutKey + sectionHeader + key + " = " + value + "\n";
        assertThat(problems(text))
                .singleElement()
                .asString()
                .startsWith("entry.ini:")
                .contains("[" + section + "] " + key);
    }

    @Test
    void shouldRefusePlainLinksWhenTheLinkAddressIsNotLoopback() throws Exception {
        assertThat(problems(ENTRY.replace("link = 127.0.0.1", "link = 0.0.0.0")))
                .containsExactly("entry.ini:13: [tls] insecure: true is allowed only if [listen] link is a loopback"
                        + " address, not 0.0.0.0");
    }

    @Test
    void shouldNameEachMissingFileWhenLinksAreSecure() throws Exception {
        String secure = ENTRY.replace("insecure = true", "certificate = none.pem");
        assertThat(problems(secure))
                .containsExactly(
                        "entry.ini:13: [tls] certificate: cannot read the file " + folder.resolve("none.pem"),
                        "entry.ini: [tls] private_key: not set; needed unless [tls] insecure = true on a loopback"
                                + " address",
                        "entry.ini: [tls] authorities: not set; needed unless [tls] insecure = true on a loopback"
                                + " address");
    }

    @Test
    void shouldReportTheCertificateWhenItsFileIsNotPem() throws Exception {
        for (String name : List.of("own.pem", "own.key", "ca.pem")) {
            Files.writeString(folder.resolve(name), "not a PEM file");
        }
        String secure =
                ENTRY.replace("insecure = true", "certificate = own.pem\nprivate_key = own.key\nauthorities = ca.pem");
        assertThat(problems(secure))
                .singleElement()
                .asString()
                .startsWith("entry.ini:13: [tls] certificate: cannot use the certificate, key and authorities:");
    }

    @Test
    void shouldNameTheFileWhenItDoesNotExist() {
        Path missing = folder.resolve("none.ini");
        SettingsException failure =
                catchThrowableOfType(SettingsException.class, () -> SettingsLoader.loadSidecar(missing));
        assertThat(failure).hasMessage(missing + ": there is no such file");
    }
}

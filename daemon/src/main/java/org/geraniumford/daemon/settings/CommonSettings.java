package org.geraniumford.daemon.settings;

import static org.geraniumford.daemon.settings.Setting.optional;
import static org.geraniumford.daemon.settings.Setting.required;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumford.core.ini.IniProblem;
import org.geraniumford.transport.link.LinkTls;

/** The settings that all daemons have in common. */
final class CommonSettings {
    static final Setting<String> ID = required("process", "id", SettingType.name(), "The process's unique name.");
    static final Setting<String> FAILURE_DOMAIN =
            required("process", "failure_domain", SettingType.name(), "The failure domain of the host.");
    static final Setting<InetSocketAddress> OPERATOR =
            required("listen", "operator", SettingType.address(), "Where operators connect.");
    static final Setting<InetSocketAddress> LINK =
            required("listen", "link", SettingType.address(), "Where the router's other processes connect.");
    static final Setting<URI> PLATFORM =
            required("platform", "address", SettingType.uri(), "The platform's base address.");
    static final Setting<List<InetSocketAddress>> SEEDS = optional(
            "peers",
            "seeds",
            SettingType.addresses(),
            "",
            "Link addresses of peers that are asked for the configuration at the start.");
    static final Setting<Boolean> INSECURE = optional(
            "tls",
            "insecure",
            SettingType.flag(),
            "false",
            "Leaves links without authentication and encryption. Refused unless the link address is a loopback one.");
    static final Setting<Path> CERTIFICATE = optional(
            "tls",
            "certificate",
            SettingType.path(),
            "",
            "PEM file of the process's certificate chain, relative to the settings file. Needed unless insecure.");
    static final Setting<Path> PRIVATE_KEY = optional(
            "tls",
            "private_key",
            SettingType.path(),
            "",
            "PEM file of the certificate's PKCS #8 private key. Needed unless insecure.");
    static final Setting<Path> AUTHORITIES = optional(
            "tls",
            "authorities",
            SettingType.path(),
            "",
            "PEM file of the certificates that sign the peers' certificates. Needed unless insecure.");
    static final Setting<Duration> DRAIN_TIMEOUT = optional(
            "shutdown",
            "drain_timeout",
            SettingType.millis(0, 3_600_000),
            "300000",
            "How long a stop waits for running requests before it cuts them.");

    private static final List<Setting<Path>> TLS_FILES = List.of(CERTIFICATE, PRIVATE_KEY, AUTHORITIES);

    private CommonSettings() {}

    /** Returns the common settings that come first in each daemon's list of settings. */
    static List<Setting<?>> leadingSettings() {
        return List.of(ID, FAILURE_DOMAIN);
    }

    /** Returns the common settings that come last in each daemon's list of settings. */
    static List<Setting<?>> trailingSettings() {
        return List.of(OPERATOR, LINK, PLATFORM, SEEDS, INSECURE, CERTIFICATE, PRIVATE_KEY, AUTHORITIES, DRAIN_TIMEOUT);
    }

    /** Returns how links are authenticated and encrypted; relative file names are resolved against the folder. */
    static LinkSecurity security(SettingValues values, Path folder) {
        return values.value(INSECURE)
                ? LinkSecurity.none()
                : new LinkSecurity(
                        false,
                        folder.resolve(values.value(CERTIFICATE)),
                        folder.resolve(values.value(PRIVATE_KEY)),
                        folder.resolve(values.value(AUTHORITIES)));
    }

    /** Returns conflicts between common settings, and problems of the TLS files that they name. */
    static Stream<IniProblem> problems(SettingValues values, Path folder) {
        if (!values.value(INSECURE)) {
            List<IniProblem> fileProblems = TLS_FILES.stream()
                    .flatMap(setting -> fileProblem(values, setting, folder))
                    .toList();
            return fileProblems.isEmpty() ? certificateProblem(values, folder) : fileProblems.stream();
        }
        return values.value(LINK).getAddress().isLoopbackAddress()
                ? Stream.empty()
                : Stream.of(values.problem(
                        INSECURE,
                        "true is allowed only if [listen] link is a loopback address, not "
                                + values.value(LINK).getAddress().getHostAddress()));
    }

    /** Loads all TLS files; if they cannot be used, returns a problem at the certificate's key. */
    private static Stream<IniProblem> certificateProblem(SettingValues values, Path folder) {
        try {
            LinkTls.of(security(values, folder).tlsFiles());
            return Stream.empty();
        } catch (IllegalArgumentException e) {
            return Stream.of(values.problem(
                    CERTIFICATE,
                    "cannot use the certificate, key and authorities: "
                            + e.getMessage().lines().findFirst().orElse("")));
        }
    }

    private static Stream<IniProblem> fileProblem(SettingValues values, Setting<Path> setting, Path folder) {
        Path file = values.value(setting);
        if (file.toString().isEmpty()) {
            return Stream.of(
                    values.problem(setting, "not set; needed unless [tls] insecure = true on a loopback address"));
        }
        Path resolved = folder.resolve(file);
        return Files.isReadable(resolved) && Files.isRegularFile(resolved)
                ? Stream.empty()
                : Stream.of(values.problem(setting, "cannot read the file " + resolved));
    }
}

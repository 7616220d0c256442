package org.geraniumford.trials.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Writes the settings files of a deployment's daemons. */
final class SettingsFiles {
    private final Path folder;
    private final String platform;

    private SettingsFiles(Path folder, String platform) {
        this.folder = folder;
        this.platform = platform;
    }

    static SettingsFiles of(Path folder, String platform) {
        return new SettingsFiles(folder, platform);
    }

    // -- commands

    Path writeEntry(DaemonHost host, Listen listen, List<String> seeds, List<String> more) throws IOException {
        return write(host, "caller = " + listen.caller(), listen, seeds, more);
    }

    Path writeSidecar(
            DaemonHost host, Listen listen, String backend, String service, List<String> seeds, List<String> more)
            throws IOException {
        List<String> lines = Stream.concat(
                        Stream.of("[backend]", "address = http://" + backend, "service = " + service), more.stream())
                .toList();
        return write(host, "", listen, seeds, lines);
    }

    private Path write(DaemonHost host, String caller, Listen listen, List<String> seeds, List<String> more)
            throws IOException {
        String text = """
                [process]
                id = %s
                failure_domain = %s
                [listen]
                operator = %s
                link = %s
                %s
                [platform]
                address = http://%s
                [peers]
                seeds = %s
                [tls]
                insecure = true
                """.formatted(
                        host.name(),
                        host.failureDomain(),
                        listen.operator(),
                        listen.link(),
                        caller,
                        platform,
                        String.join(",", seeds));
        return Files.writeString(folder.resolve(host.name() + ".ini"), text + String.join("\n", more) + "\n");
    }

    /** Names the host of a daemon. */
    record DaemonHost(String name, String failureDomain) {}

    /** Where a daemon listens: a free port at the first start, the same one at later starts. */
    record Listen(String caller, String operator, String link) {
        private static final String FREE_PORT = "127.0.0.1:0";

        static Listen free() {
            return new Listen(FREE_PORT, FREE_PORT, FREE_PORT);
        }

        static Listen ofEntry(Node node) {
            return new Listen(node.address("caller"), node.address("operator"), node.address("link"));
        }

        static Listen ofSidecar(Node node) {
            return new Listen("", node.address("operator"), node.address("link"));
        }
    }
}

package org.geraniumford.trials.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Writes the settings files of a deployment's daemons. */
final class SettingsFileWriter {
    private final Path folder;
    private final String platformAddress;

    private SettingsFileWriter(Path folder, String platform) {
        this.folder = folder;
        this.platformAddress = platform;
    }

    static SettingsFileWriter of(Path folder, String platform) {
        return new SettingsFileWriter(folder, platform);
    }

    // -- commands

    Path writeEntry(DaemonHost host, ListenAddresses listen, List<String> seeds, List<String> more) throws IOException {
        return write(host, "caller = " + listen.caller(), listen, seeds, more);
    }

    Path writeSidecar(
            DaemonHost host,
            ListenAddresses listen,
            String backend,
            String service,
            List<String> seeds,
            List<String> more)
            throws IOException {
        List<String> lines = Stream.concat(
                        Stream.of("[backend]", "address = http://" + backend, "service = " + service), more.stream())
                .toList();
        return write(host, "", listen, seeds, lines);
    }

    private Path write(DaemonHost host, String caller, ListenAddresses listen, List<String> seeds, List<String> more)
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
                        platformAddress,
                        String.join(",", seeds));
        return Files.writeString(folder.resolve(host.name() + ".ini"), text + String.join("\n", more) + "\n");
    }

    /** Names the host of a daemon. */
    record DaemonHost(String name, String failureDomain) {}

    /** Where a daemon listens: a free port at the first start, the same one at later starts. */
    record ListenAddresses(String caller, String operator, String link) {
        private static final String FREE_PORT_ADDRESS = "127.0.0.1:0";

        static ListenAddresses ofFreePorts() {
            return new ListenAddresses(FREE_PORT_ADDRESS, FREE_PORT_ADDRESS, FREE_PORT_ADDRESS);
        }

        static ListenAddresses ofEntry(DeploymentProcess node) {
            return new ListenAddresses(node.address("caller"), node.address("operator"), node.address("link"));
        }

        static ListenAddresses ofSidecar(DeploymentProcess node) {
            return new ListenAddresses("", node.address("operator"), node.address("link"));
        }
    }
}

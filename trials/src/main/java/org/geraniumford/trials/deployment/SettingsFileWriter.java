package org.geraniumford.trials.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Writes the settings files of a deployment's entries and sidecars. */
final class SettingsFileWriter {
    private final Path folder;
    private final String platformAddress;

    private SettingsFileWriter(Path folder, String platformAddress) {
        this.folder = folder;
        this.platformAddress = platformAddress;
    }

    /**
     * Creates a writer.
     *
     * @param folder the folder for the settings files
     * @param platformAddress the platform's host and port
     * @return a writer
     */
    static SettingsFileWriter of(Path folder, String platformAddress) {
        return new SettingsFileWriter(folder, platformAddress);
    }

    // -- commands

    /**
     * Writes an entry's settings file.
     *
     * @param host the entry's host
     * @param listen the addresses on which the entry listens
     * @param seeds the link addresses of processes from which the entry requests the configuration at its start
     * @param extraLines the lines to append to the file
     * @return the path of the file
     * @throws IOException if the file cannot be written
     */
    Path writeEntry(DaemonHost host, ListenAddresses listen, List<String> seeds, List<String> extraLines)
            throws IOException {
        return write(host, "caller = " + listen.caller(), listen, seeds, extraLines);
    }

    /**
     * Writes a sidecar's settings file.
     *
     * @param host the sidecar's host
     * @param listen the addresses on which the sidecar listens; the one for callers is not used
     * @param backendAddress the host and port of the sidecar's backend server
     * @param service the name of the plain service that the backend server provides; empty for a model engine
     * @param seeds the link addresses of processes from which the sidecar requests the configuration at its start
     * @param extraLines the lines to append to the file
     * @return the path of the file
     * @throws IOException if the file cannot be written
     */
    Path writeSidecar(
            DaemonHost host,
            ListenAddresses listen,
            String backendAddress,
            String service,
            List<String> seeds,
            List<String> extraLines)
            throws IOException {
        List<String> appendedLines = Stream.concat(
                        Stream.of("[backend]", "address = http://" + backendAddress, "service = " + service),
                        extraLines.stream())
                .toList();
        return write(host, "", listen, seeds, appendedLines);
    }

    private Path write(
            DaemonHost host, String callerLine, ListenAddresses listen, List<String> seeds, List<String> extraLines)
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
                        callerLine,
                        platformAddress,
                        String.join(",", seeds));
        return Files.writeString(folder.resolve(host.name() + ".ini"), text + String.join("\n", extraLines) + "\n");
    }

    /**
     * The host of a daemon.
     *
     * @param name the host's name, which is also the daemon's identifier and the name of its settings file
     * @param failureDomain the host's failure domain
     */
    record DaemonHost(String name, String failureDomain) {}

    /**
     * The host and port of each of a daemon's listeners: free ports at the first start, the same ports at later starts.
     *
     * @param caller the address for callers; not used for a sidecar
     * @param operator the address for operators
     * @param link the address for links
     */
    record ListenAddresses(String caller, String operator, String link) {
        private static final String FREE_PORT_ADDRESS = "127.0.0.1:0";

        static ListenAddresses ofFreePorts() {
            return new ListenAddresses(FREE_PORT_ADDRESS, FREE_PORT_ADDRESS, FREE_PORT_ADDRESS);
        }

        static ListenAddresses ofEntry(DeploymentProcess process) {
            return new ListenAddresses(process.address("caller"), process.address("operator"), process.address("link"));
        }

        static ListenAddresses ofSidecar(DeploymentProcess process) {
            return new ListenAddresses("", process.address("operator"), process.address("link"));
        }
    }
}

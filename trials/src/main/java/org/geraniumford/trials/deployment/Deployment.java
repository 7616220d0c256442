package org.geraniumford.trials.deployment;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.geraniumford.core.configuration.Publication;
import org.geraniumford.daemon.command.ConfigurationFolder;
import org.geraniumford.daemon.configuration.ConfigurationPublisher;
import org.geraniumford.transport.platform.PlatformClient;
import org.geraniumford.trials.deployment.SettingsFileWriter.DaemonHost;
import org.geraniumford.trials.deployment.SettingsFileWriter.ListenAddresses;

/** A running deployment: its processes, which listen on free ports on loopback. */
public final class Deployment implements AutoCloseable {
    private static final String PLATFORM = "platform";
    private static final int SIGTERM_EXIT_CODE = 143;

    private final DeploymentPlan plan;
    private final Path folder;
    private final Map<String, DeploymentProcess> processes = new LinkedHashMap<>();
    private final SettingsFileWriter settingsWriter;

    private Deployment(DeploymentPlan plan, Path folder) throws IOException {
        this.plan = plan;
        this.folder = folder;
        DeploymentProcess platform = startStandIn(PLATFORM, List.of("platform", "--port", "0"));
        this.settingsWriter = SettingsFileWriter.of(folder, platform.address("address"));
    }

    // -- construction

    /**
     * Starts the platform, the backend servers and their sidecars, applies the configuration, and starts the entries.
     *
     * @param plan the processes to start and the configuration to apply
     * @param folder the folder for settings files and logs
     * @return the running deployment
     * @throws IOException if a process does not start or the configuration is not applied; the processes that were
     *     started are then killed
     */
    public static Deployment start(DeploymentPlan plan, Path folder) throws IOException {
        requireNonNull(plan, "plan is null");
        Deployment deployment = new Deployment(plan, folder);
        try {
            deployment.startAll();
            return deployment;
        } catch (IOException | RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    private void startAll() throws IOException {
        for (RunnerPlan runner : plan.runners()) {
            startEngine(runner);
            startSidecar(runner, ListenAddresses.ofFreePorts());
        }
        for (int i = 0; i < plan.services().size(); i++) {
            startService(plan.services().get(i), i);
        }
        applyConfiguration();
        for (int i = 0; i < plan.entryCount(); i++) {
            startEntry(i, ListenAddresses.ofFreePorts());
        }
    }

    private void startEngine(RunnerPlan runner) throws IOException {
        startEngine(runner, "0");
    }

    private void startEngine(RunnerPlan runner, String port) throws IOException {
        List<String> arguments = Stream.concat(
                        Stream.of(
                                "engine",
                                "--port",
                                port,
                                "--model-version",
                                runner.modelVersion(),
                                "--weights",
                                runner.weightsDigest()),
                        runner.engineOptions().stream())
                .toList();
        startStandIn(engineName(runner.name()), arguments);
    }

    private void startSidecar(RunnerPlan runner, ListenAddresses listen) throws IOException {
        DaemonHost host = new DaemonHost(runner.name(), runner.failureDomain());
        Path settingsFile = settingsWriter.writeSidecar(
                host, listen, engine(runner.name()).address("address"), "", seeds(), plan.sidecarSettings());
        DeploymentProcess sidecar = startDaemon("sidecar", host, settingsFile);
        platformAdmin().putHost(host.name(), "runner", sidecar.address("link"), host.failureDomain(), "live");
    }

    private void startService(String service, int number) throws IOException {
        DeploymentProcess backend = startStandIn(serviceName(service), List.of("service", "--port", "0"));
        DaemonHost host = new DaemonHost(service + "-host", plan.failureDomain(number));
        Path settingsFile = settingsWriter.writeSidecar(
                host,
                ListenAddresses.ofFreePorts(),
                backend.address("address"),
                service,
                seeds(),
                plan.sidecarSettings());
        DeploymentProcess sidecar = startDaemon("sidecar", host, settingsFile);
        platformAdmin().putHost(host.name(), "service", sidecar.address("link"), host.failureDomain(), "live");
    }

    private void startEntry(int number, ListenAddresses listen) throws IOException {
        DaemonHost host = new DaemonHost(entryName(number), plan.failureDomain(number));
        Path settingsFile = settingsWriter.writeEntry(host, listen, seeds(), plan.entrySettings());
        DeploymentProcess entry = startDaemon("entry", host, settingsFile);
        platformAdmin().putHost(host.name(), "entry", entry.address("link"), host.failureDomain(), "live");
    }

    private DeploymentProcess startDaemon(String subcommand, DaemonHost host, Path settingsFile) throws IOException {
        return start(
                host.name(),
                org.geraniumford.daemon.command.Main.class,
                List.of(subcommand, "--settings", settingsFile.toString()));
    }

    private DeploymentProcess startStandIn(String name, List<String> arguments) throws IOException {
        return start(name, org.geraniumford.standins.Main.class, arguments);
    }

    private DeploymentProcess start(String name, Class<?> mainClass, List<String> arguments) throws IOException {
        DeploymentProcess process = DeploymentProcess.start(name, folder.resolve(name + ".log"), mainClass, arguments);
        processes.put(name, process);
        return process;
    }

    // -- queries

    /**
     * Returns a process by its name.
     *
     * @param name the host's name for a daemon: {@code entry-1} and so on for entries, the runner's name for its
     *     sidecar, the service's name followed by {@code -host} for its sidecar; the runner's name followed by
     *     {@code -engine}, the service's name followed by {@code -service}, or {@code platform} for a stand-in
     * @return the process
     * @throws IllegalArgumentException if there is no such process
     */
    public DeploymentProcess process(String name) {
        DeploymentProcess process = processes.get(name);
        if (process == null) {
            throw new IllegalArgumentException(
                    "no process is named " + name + "; the deployment has " + processes.keySet());
        }
        return process;
    }

    /**
     * Returns the process of a runner's engine.
     *
     * @param runner the runner's host name
     * @return the engine's process
     * @throws IllegalArgumentException if there is no such process
     */
    public DeploymentProcess engine(String runner) {
        return process(engineName(runner));
    }

    /**
     * Returns the process of a plain service's stand-in.
     *
     * @param service the service's name
     * @return the service's process
     * @throws IllegalArgumentException if there is no such process
     */
    public DeploymentProcess service(String service) {
        return process(serviceName(service));
    }

    /**
     * Returns the process of an entry.
     *
     * @param number the entry's number, from 0
     * @return the entry's process
     * @throws IllegalArgumentException if there is no such process
     */
    public DeploymentProcess entry(int number) {
        return process(entryName(number));
    }

    /**
     * Returns the platform's base URL.
     *
     * @return an HTTP URL without a path
     */
    public String platformUrl() {
        return "http://" + process(PLATFORM).address("address");
    }

    /**
     * Creates a client of the platform stand-in.
     *
     * @return a client for host registration and faults
     */
    public PlatformAdminClient platformAdmin() {
        return PlatformAdminClient.of(platformUrl());
    }

    /**
     * Returns all processes.
     *
     * @return the processes in the order in which they were first started
     */
    public List<DeploymentProcess> processes() {
        return List.copyOf(processes.values());
    }

    // -- commands

    /**
     * Applies the plan's configuration folder at the platform.
     *
     * @throws IOException if the folder cannot be read or is not applied
     */
    public void applyConfiguration() throws IOException {
        try (AsyncHttpClient client = Dsl.asyncHttpClient(PlatformClient.httpClientConfiguration())) {
            PlatformClient store = PlatformClient.of(URI.create(platformUrl()), client);
            Publication.Outcome outcome = ConfigurationPublisher.of(store)
                    .apply(ConfigurationFolder.read(plan.configuration()), Optional.empty(), "deployment")
                    .join();
            if (!(outcome instanceof Publication.Outcome.Applied)) {
                throw new IOException("the configuration was not applied: " + outcome);
            }
        }
    }

    /**
     * Runs an operator's command and waits until it has exited. If the waiting thread is interrupted, the command is
     * killed and the method returns without an error.
     *
     * @param arguments the arguments of {@code geraniumford}
     * @throws IOException if the command cannot be started or exits with a code other than 0
     */
    public void runCommand(String... arguments) throws IOException {
        Path log = folder.resolve("command.log");
        Process process = new ProcessBuilder(DeploymentProcess.commandLine(
                        org.geraniumford.daemon.command.Main.class, Arrays.asList(arguments)))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        try {
            int exitCode = process.waitFor();
            if (exitCode != 0) {
                throw new IOException("geraniumford " + String.join(" ", arguments) + " failed with exit code "
                        + exitCode + ":\n" + Files.readString(log));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            process.destroyForcibly();
        }
    }

    /**
     * Restarts a killed engine at its earlier address.
     *
     * @param runner the runner's host name
     * @throws IOException if the engine does not start
     */
    public void restartEngine(String runner) throws IOException {
        String address = engine(runner).address("address");
        startEngine(runnerPlan(runner), address.substring(address.indexOf(':') + 1));
    }

    /**
     * Restarts a runner's killed sidecar at its earlier addresses.
     *
     * @param runner the runner's host name
     * @throws IOException if the sidecar does not start or its host cannot be registered at the platform
     */
    public void restartSidecar(String runner) throws IOException {
        startSidecar(runnerPlan(runner), ListenAddresses.ofSidecar(process(runner)));
    }

    /**
     * Restarts a killed entry at its earlier addresses.
     *
     * @param number the entry's number, from 0
     * @throws IOException if the entry does not start or its host cannot be registered at the platform
     */
    public void restartEntry(int number) throws IOException {
        startEntry(number, ListenAddresses.ofEntry(entry(number)));
    }

    /**
     * Stops the processes one after another, in the reverse of the order in which they were first started: entries
     * first, the platform last. Processes that have exited already are skipped.
     *
     * @return the names of the processes that exited with neither 0 nor 143, the exit code after SIGTERM
     * @throws IllegalStateException if a process does not exit within 30 s
     */
    public List<String> stop() {
        List<DeploymentProcess> reversed = new ArrayList<>(processes.values());
        Collections.reverse(reversed);
        return reversed.stream()
                .filter(process -> !stopGracefully(process))
                .map(DeploymentProcess::name)
                .toList();
    }

    private static boolean stopGracefully(DeploymentProcess process) {
        if (!process.isAlive()) {
            return true;
        }
        process.terminate();
        int exitCode = process.awaitExit();
        return exitCode == 0 || exitCode == SIGTERM_EXIT_CODE;
    }

    /** Kills every process that is still running. */
    @Override
    public void close() {
        processes.values().forEach(DeploymentProcess::close);
    }

    // -- support

    private RunnerPlan runnerPlan(String runner) {
        return plan.runners().stream()
                .filter(candidate -> candidate.name().equals(runner))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("the plan has no runner named " + runner));
    }

    /** Returns the link addresses of up to three entries and runners' sidecars that were started, entries first. */
    private List<String> seeds() {
        Stream<String> runners = plan.runners().stream().map(RunnerPlan::name);
        Stream<String> entries = IntStream.range(0, plan.entryCount()).mapToObj(Deployment::entryName);
        return Stream.concat(entries, runners)
                .filter(processes::containsKey)
                .limit(3)
                .map(name -> process(name).address("link"))
                .toList();
    }

    private static String engineName(String runner) {
        return runner + "-engine";
    }

    private static String serviceName(String service) {
        return service + "-service";
    }

    private static String entryName(int number) {
        return "entry-" + (number + 1);
    }
}

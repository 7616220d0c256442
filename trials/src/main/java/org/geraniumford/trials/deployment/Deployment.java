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
import org.geraniumford.trials.deployment.SettingsFiles.DaemonHost;
import org.geraniumford.trials.deployment.SettingsFiles.Listen;

/** Every process of one deployment, on loopback, with free ports. */
public final class Deployment implements AutoCloseable {
    private static final String PLATFORM = "platform";
    private static final int SIGTERM_EXIT = 143;

    private final DeploymentPlan plan;
    private final Path folder;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final SettingsFiles settings;

    private Deployment(DeploymentPlan plan, Path folder) throws IOException {
        this.plan = plan;
        this.folder = folder;
        Node platform = startStandIn(PLATFORM, List.of("platform", "--port", "0"));
        this.settings = SettingsFiles.of(folder, platform.address("address"));
    }

    // -- construction

    /**
     * Starts the platform, the backend servers, their sidecars and the entries, and applies the configuration.
     *
     * @param plan what to start
     * @param folder where settings and logs go
     * @return the running deployment
     * @throws IOException if a process does not start
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
            startSidecar(runner, Listen.free());
        }
        for (int i = 0; i < plan.services().size(); i++) {
            startService(plan.services().get(i), i);
        }
        applyConfiguration();
        for (int i = 0; i < plan.entries(); i++) {
            startEntry(i, Listen.free());
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

    private void startSidecar(RunnerPlan runner, Listen listen) throws IOException {
        DaemonHost host = new DaemonHost(runner.name(), runner.failureDomain());
        Path file = settings.writeSidecar(
                host, listen, engine(runner.name()).address("address"), "", seeds(), plan.sidecarSettings());
        Node sidecar = startDaemon("sidecar", host, file);
        platform().register(host.name(), "runner", sidecar.address("link"), host.failureDomain(), "live");
    }

    private void startService(String service, int number) throws IOException {
        Node backend = startStandIn(serviceName(service), List.of("service", "--port", "0"));
        DaemonHost host = new DaemonHost(service + "-host", plan.failureDomain(number));
        Path file = settings.writeSidecar(
                host, Listen.free(), backend.address("address"), service, seeds(), plan.sidecarSettings());
        Node sidecar = startDaemon("sidecar", host, file);
        platform().register(host.name(), "service", sidecar.address("link"), host.failureDomain(), "live");
    }

    private void startEntry(int number, Listen listen) throws IOException {
        DaemonHost host = new DaemonHost(entryName(number), plan.failureDomain(number));
        Path file = settings.writeEntry(host, listen, seeds(), plan.entrySettings());
        Node entry = startDaemon("entry", host, file);
        platform().register(host.name(), "entry", entry.address("link"), host.failureDomain(), "live");
    }

    private Node startDaemon(String subcommand, DaemonHost host, Path file) throws IOException {
        return start(
                host.name(),
                org.geraniumford.daemon.command.Main.class,
                List.of(subcommand, "--settings", file.toString()));
    }

    private Node startStandIn(String name, List<String> arguments) throws IOException {
        return start(name, org.geraniumford.standins.Main.class, arguments);
    }

    private Node start(String name, Class<?> mainClass, List<String> arguments) throws IOException {
        Node node = Node.start(name, folder.resolve(name + ".log"), mainClass, arguments);
        nodes.put(name, node);
        return node;
    }

    // -- queries

    /**
     * Returns a process.
     *
     * @param name the host's name, or {@code platform}
     * @return the daemon on that host
     */
    public Node node(String name) {
        Node node = nodes.get(name);
        if (node == null) {
            throw new IllegalArgumentException("no process is named " + name + ", only " + nodes.keySet());
        }
        return node;
    }

    /**
     * Returns a runner's engine.
     *
     * @param runner the runner's host name
     * @return the engine's process
     */
    public Node engine(String runner) {
        return node(engineName(runner));
    }

    /**
     * Returns the stand-in of a plain service.
     *
     * @param service the service's name
     * @return its process
     */
    public Node service(String service) {
        return node(serviceName(service));
    }

    /**
     * Returns an entry.
     *
     * @param number its number, from 0
     * @return its process
     */
    public Node entry(int number) {
        return node(entryName(number));
    }

    /**
     * Returns the platform's base address.
     *
     * @return an HTTP address
     */
    public String platformAddress() {
        return "http://" + node(PLATFORM).address("address");
    }

    /**
     * Returns a client of the platform stand-in.
     *
     * @return a client for host registration and faults
     */
    public PlatformControl platform() {
        return PlatformControl.of(platformAddress());
    }

    /**
     * Returns every process.
     *
     * @return the processes in the order of their first start
     */
    public List<Node> nodes() {
        return List.copyOf(nodes.values());
    }

    // -- commands

    /**
     * Puts the plan's configuration folder in force.
     *
     * @throws IOException if the folder is not accepted
     */
    public void applyConfiguration() throws IOException {
        try (AsyncHttpClient client = Dsl.asyncHttpClient(PlatformClient.configuration())) {
            PlatformClient store = PlatformClient.of(URI.create(platformAddress()), client);
            Publication.Outcome outcome = ConfigurationPublisher.of(store)
                    .apply(ConfigurationFolder.read(plan.configuration()), Optional.empty(), "deployment")
                    .join();
            if (!(outcome instanceof Publication.Outcome.Applied)) {
                throw new IOException("the configuration was not applied: " + outcome);
            }
        }
    }

    /**
     * Runs an operator's command and waits for it.
     *
     * @param arguments the arguments of {@code geraniumford}
     * @throws IOException if it fails
     */
    public void command(String... arguments) throws IOException {
        Path log = folder.resolve("command.log");
        Process process = new ProcessBuilder(
                        Node.command(org.geraniumford.daemon.command.Main.class, Arrays.asList(arguments)))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        try {
            int exit = process.waitFor();
            if (exit != 0) {
                throw new IOException("geraniumford " + String.join(" ", arguments) + " failed with " + exit + ":\n"
                        + Files.readString(log));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            process.destroyForcibly();
        }
    }

    /**
     * Starts an engine again, at its earlier address, after it was killed.
     *
     * @param runner the runner's host name
     * @throws IOException if it does not start
     */
    public void restartEngine(String runner) throws IOException {
        String address = engine(runner).address("address");
        startEngine(runnerPlan(runner), address.substring(address.indexOf(':') + 1));
    }

    /**
     * Starts a runner's sidecar again, at its earlier address, after it was killed.
     *
     * @param runner the runner's host name
     * @throws IOException if it does not start
     */
    public void restartSidecar(String runner) throws IOException {
        startSidecar(runnerPlan(runner), Listen.ofSidecar(node(runner)));
    }

    /**
     * Starts an entry again, at its earlier address, after it was killed.
     *
     * @param number its number, from 0
     * @throws IOException if it does not start
     */
    public void restartEntry(int number) throws IOException {
        startEntry(number, Listen.ofEntry(entry(number)));
    }

    /**
     * Stops every process in order: entries first, the platform last.
     *
     * @return the names of the processes that had to be killed or did not exit with 0 or the code of SIGTERM
     */
    public List<String> stop() {
        List<Node> reversed = new ArrayList<>(nodes.values());
        Collections.reverse(reversed);
        return reversed.stream().filter(node -> !stopped(node)).map(Node::name).toList();
    }

    private static boolean stopped(Node node) {
        if (!node.alive()) {
            return true;
        }
        node.terminate();
        int exit = node.awaitEnd();
        return exit == 0 || exit == SIGTERM_EXIT;
    }

    /** Ends every process at once. */
    @Override
    public void close() {
        nodes.values().forEach(Node::close);
    }

    // -- names

    private RunnerPlan runnerPlan(String runner) {
        return plan.runners().stream()
                .filter(candidate -> candidate.name().equals(runner))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no runner is named " + runner));
    }

    private List<String> seeds() {
        Stream<String> runners = plan.runners().stream().map(RunnerPlan::name);
        Stream<String> entries = IntStream.range(0, plan.entries()).mapToObj(Deployment::entryName);
        return Stream.concat(entries, runners)
                .filter(nodes::containsKey)
                .limit(3)
                .map(name -> node(name).address("link"))
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

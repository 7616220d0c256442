package org.geraniumford.trials.measure;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.geraniumford.core.close.Closer;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.daemon.load.Arrival;
import org.geraniumford.daemon.load.LoadConfiguration;
import org.geraniumford.daemon.load.LoadResult;
import org.geraniumford.daemon.load.LoadRun;
import org.geraniumford.daemon.load.LoadTarget;
import org.geraniumford.daemon.load.Outcome;
import org.geraniumford.daemon.load.Scenario;
import org.geraniumford.daemon.load.Trace;
import org.geraniumford.trials.deployment.Deployment;
import org.geraniumford.trials.deployment.DeploymentPlan;
import org.geraniumford.trials.deployment.RunnerPlan;

/** Runs a scenario with one policy and one seed on a new deployment. */
final class Measurement {
    /** The duration of the warm-up, in seconds of the modelled deployment. */
    private static final int WARM_UP_SECONDS = 20;

    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final long MAX_PREFILL_TOKENS_PER_SECOND = 10_000_000;
    private static final long WARM_UP_SEED = -1;

    private final Scenario scenario;
    private final RoutingPolicy policy;
    private final Consumer<String> progress;

    private Measurement(Scenario scenario, RoutingPolicy policy, Consumer<String> progress) {
        this.scenario = scenario;
        this.policy = policy;
        this.progress = progress;
    }

    // -- commands

    /**
     * Starts a deployment, warms it up, runs the scenario and stops the deployment.
     *
     * @param scenario the scenario
     * @param policy the routing policy of the entries
     * @param seed the seed of the arrivals
     * @param folder the folder for configuration, settings files and logs
     * @param progress receives lines on the progress of the run
     * @return the results
     * @throws IOException if the deployment does not start or a process cannot be reached
     * @throws InterruptedException if the thread is interrupted
     */
    static MeasuredRun run(Scenario scenario, RoutingPolicy policy, long seed, Path folder, Consumer<String> progress)
            throws IOException, InterruptedException {
        return new Measurement(scenario, policy, progress).run(seed, folder);
    }

    private MeasuredRun run(long seed, Path folder) throws IOException, InterruptedException {
        Path configuration = Files.createDirectories(folder.resolve("configuration"));
        Files.writeString(configuration.resolve("00-load.ini"), LoadConfiguration.text(scenario));
        try (Deployment deployment = Deployment.start(plan(configuration), folder)) {
            LoadTarget target = target(deployment);
            Scenario warmUp = warmUpScenario();
            LoadRun.run(warmUp, target, Trace.generate(warmUp, WARM_UP_SEED), line -> {});
            FleetCounters warmUpCounters = counters(deployment);
            List<Arrival> trace = Trace.generate(scenario, seed);
            List<Outcome> outcomes = measure(deployment, target, trace);
            LoadResult result = LoadResult.of(scenario, policyName(policy), seed, trace, outcomes);
            return new MeasuredRun(result, counters(deployment).minus(warmUpCounters), retriesByReason(deployment));
        }
    }

    private List<Outcome> measure(Deployment deployment, LoadTarget target, List<Arrival> trace)
            throws InterruptedException {
        try (Closer closer = Closer.empty()) {
            closer.add(FaultInjector.start(scenario, deployment));
            return LoadRun.run(scenario, target, trace, progress);
        }
    }

    // -- the deployment

    private DeploymentPlan plan(Path configuration) {
        Scenario.Fleet fleet = scenario.fleet();
        List<String> failureDomains = IntStream.range(0, fleet.failureDomains())
                .mapToObj(i -> "domain-" + i)
                .toList();
        List<RunnerPlan> runners = IntStream.range(0, fleet.runners())
                .mapToObj(i -> new RunnerPlan(
                        runnerName(i),
                        failureDomains.get(i % failureDomains.size()),
                        LoadConfiguration.MODEL_VERSION,
                        LoadConfiguration.weightsDigest(),
                        engineOptions()))
                .toList();
        List<String> entrySettings = List.of(
                "[engine]",
                "piece_tokens = " + scenario.prompts().blockTokens(),
                "[routing]",
                "policy = " + policyName(policy),
                "prefill_tokens_per_second = " + prefillTokensPerSecond());
        return new DeploymentPlan(
                configuration, runners, List.of(), fleet.entries(), failureDomains, entrySettings, List.of());
    }

    /** Returns the prefill rate of one engine in tokens per second of real time, at most the setting's maximum. */
    private long prefillTokensPerSecond() {
        return Math.min(
                MAX_PREFILL_TOKENS_PER_SECOND,
                Math.round(MICROS_PER_SECOND
                        * scenario.traffic().timeScale()
                        / scenario.fleet().prefillMicrosPerToken()));
    }

    private List<String> engineOptions() {
        Scenario.Fleet fleet = scenario.fleet();
        return List.of(
                "--capacity-pieces",
                String.valueOf(fleet.capacityBlocks()),
                "--slots",
                String.valueOf(fleet.slots()),
                "--prefill-micros",
                String.valueOf(fleet.prefillMicrosPerToken()),
                "--decode-micros",
                String.valueOf(fleet.decodeMicrosPerStep()),
                "--time-scale",
                String.valueOf(scenario.traffic().timeScale()));
    }

    /**
     * Returns a scenario with the same rate of requests, but without faults, a flood or hot documents. Its prompts are
     * questions only, and so share no prefix with prompts that begin with a preamble, a group's text or a document. The
     * numbers of groups, documents and hot documents are 1, because arrivals cannot be generated with 0.
     */
    private Scenario warmUpScenario() {
        Scenario.Traffic traffic = scenario.traffic();
        Scenario.Prompts prompts = scenario.prompts();
        return new Scenario(
                "warm-up",
                new Scenario.Traffic(
                        WARM_UP_SECONDS,
                        traffic.requestsPerSecond(),
                        traffic.timeScale(),
                        traffic.customers(),
                        traffic.customerSkew(),
                        traffic.model(),
                        traffic.maxTokens(),
                        traffic.deadlineMillis()),
                new Scenario.Prompts(prompts.blockTokens(), 0, 0, 0, prompts.questionTokens(), 1, 1, 0),
                new Scenario.HotDocuments(0, 1, 0),
                new Scenario.Flood(-1, 1, 0, 0),
                scenario.fleet(),
                List.of());
    }

    private LoadTarget target(Deployment deployment) {
        return new LoadTarget(IntStream.range(0, scenario.fleet().entries())
                .mapToObj(i -> URI.create("http://" + deployment.entry(i).address("caller")))
                .toList());
    }

    /** Returns the sums of the counters of the engines that are running; those of killed engines are missing. */
    private FleetCounters counters(Deployment deployment) throws IOException {
        FleetCounters total = FleetCounters.ZERO;
        for (int i = 0; i < scenario.fleet().runners(); i++) {
            if (deployment.engine(runnerName(i)).isAlive()) {
                total = total.plus(engineAdmin(deployment, i).counters());
            }
        }
        return total;
    }

    /** Returns the sums of the entries' retries by reason. */
    private Map<String, Long> retriesByReason(Deployment deployment) throws IOException {
        Map<String, Long> totals = new TreeMap<>();
        for (int i = 0; i < scenario.fleet().entries(); i++) {
            EntryMetricsClient entry =
                    new EntryMetricsClient(deployment.entry(i).address("operator"));
            entry.retriesByReason().forEach((reason, count) -> totals.merge(reason, count, Long::sum));
        }
        return totals;
    }

    // -- names and addresses

    /** Creates a client of the engine of a runner, given by the runner's number from 0. */
    static EngineAdminClient engineAdmin(Deployment deployment, int number) {
        return new EngineAdminClient(deployment.engine(runnerName(number)).address("address"));
    }

    static String runnerName(int number) {
        return "runner-" + number;
    }

    static String policyName(RoutingPolicy policy) {
        return policy.name().toLowerCase(Locale.ROOT);
    }
}

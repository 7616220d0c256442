package org.geraniumford.trials.measure;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.geraniumford.core.routing.RoutingPolicy;
import org.geraniumford.daemon.load.LoadReport;
import org.geraniumford.daemon.load.Scenario;
import org.geraniumford.daemon.load.ScenarioReader;

/** Runs each scenario with each policy and each seed, and prints a comparison of the policies. */
public final class Measure {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> scenarios = parser.accepts("scenario", "a scenario file; may be repeated")
            .withRequiredArg()
            .required();
    private final OptionSpec<String> policies = parser.accepts("policies", "routing policies, the first is the base")
            .withRequiredArg()
            .withValuesSeparatedBy(',')
            .defaultsTo("probe", "rendezvous", "least_loaded", "round_robin", "random");
    private final OptionSpec<Long> seeds = parser.accepts("seeds", "seeds of the arrivals")
            .withRequiredArg()
            .ofType(Long.class)
            .withValuesSeparatedBy(',')
            .defaultsTo(1L, 2L, 3L, 4L, 5L);
    private final OptionSpec<String> results =
            parser.accepts("results", "the folder for JSON and SVG files").withRequiredArg();
    private final OptionSpec<Void> help =
            parser.accepts("help", "prints the options").forHelp();
    private final PrintWriter out;

    private Measure(PrintWriter out) {
        this.out = out;
    }

    /**
     * Runs the comparison. The process exits with 0, with 1 if a run fails or a file cannot be read or written, or with
     * 2 if the options or a scenario are not valid.
     *
     * @param args the options; {@code --help} lists them
     */
    public static void main(String[] args) {
        PrintWriter out = new PrintWriter(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8);
        System.exit(new Measure(out).run(args));
    }

    private int run(String[] args) {
        try {
            return run(parser.parse(args));
        } catch (OptionException | IllegalArgumentException e) {
            out.println("measure: " + e.getMessage());
            return EXIT_USAGE;
        } catch (IOException e) {
            out.println("measure: " + e);
            return EXIT_FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILED;
        }
    }

    private int run(OptionSet options) throws IOException, InterruptedException {
        if (options.has(help)) {
            parser.printHelpOn(out);
            return 0;
        }
        List<RoutingPolicy> chosenPolicies = options.valuesOf(policies).stream()
                .map(name -> RoutingPolicy.valueOf(name.toUpperCase(Locale.ROOT)))
                .toList();
        for (String file : options.valuesOf(scenarios)) {
            Scenario scenario = ScenarioReader.read(file, Files.readAllBytes(Path.of(file)));
            List<MeasuredRun> runs = new ArrayList<>();
            for (long seed : options.valuesOf(seeds)) {
                for (RoutingPolicy policy : chosenPolicies) {
                    runs.add(measure(scenario, policy, seed));
                }
            }
            Comparison comparison = Comparison.of(scenario.name(), runs);
            out.println(comparison.markdown());
            if (options.has(results)) {
                writeResults(Path.of(options.valueOf(results)), scenario.name(), runs, comparison);
            }
        }
        return 0;
    }

    private MeasuredRun measure(Scenario scenario, RoutingPolicy policy, long seed)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("geraniumford-measure");
        String runName =
                "scenario=%s policy=%s seed=%d".formatted(scenario.name(), Measurement.policyName(policy), seed);
        out.println("start " + runName);
        try {
            MeasuredRun run =
                    Measurement.run(scenario, policy, seed, folder, line -> out.println(line + " " + runName));
            out.println(LoadReport.table(run.result()));
            out.println("wasted=" + LoadReport.formatFraction(run.wastedFraction()) + " " + run.fleet() + " retries="
                    + run.retries());
            return run;
        } finally {
            deleteRecursively(folder);
        }
    }

    private static void writeResults(Path folder, String scenarioName, List<MeasuredRun> runs, Comparison comparison)
            throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(scenarioName + ".json"), LoadReport.json(runs));
        Files.writeString(folder.resolve(scenarioName + ".svg"), comparison.svg());
        Files.writeString(folder.resolve(scenarioName + ".md"), comparison.markdown() + "\n");
    }

    private static void deleteRecursively(Path folder) throws IOException {
        List<Path> deepestFirst;
        try (Stream<Path> files = Files.walk(folder)) {
            deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : deepestFirst) {
            Files.delete(path);
        }
    }
}

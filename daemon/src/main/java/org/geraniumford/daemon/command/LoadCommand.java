package org.geraniumford.daemon.command;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.geraniumford.daemon.load.Arrival;
import org.geraniumford.daemon.load.LoadConfiguration;
import org.geraniumford.daemon.load.LoadReport;
import org.geraniumford.daemon.load.LoadResult;
import org.geraniumford.daemon.load.LoadRun;
import org.geraniumford.daemon.load.LoadTarget;
import org.geraniumford.daemon.load.Outcome;
import org.geraniumford.daemon.load.Scenario;
import org.geraniumford.daemon.load.ScenarioReader;
import org.geraniumford.daemon.load.Trace;

/** Sends the requests of a load scenario to running entries and prints the results. */
final class LoadCommand implements Command {
    private static final String SCENARIO = "scenario";
    private static final String ENTRY = "entry";
    private static final String SEED = "seed";
    private static final String LABEL = "label";
    private static final String RESULT = "result";
    private static final String JSON = "json";
    private static final String PRINT_CONFIGURATION = "print-configuration";

    // -- declaration

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String arguments() {
        return "--scenario FILE";
    }

    @Override
    public String summary() {
        return "Sends a scenario's requests to entries and reports the results.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(SCENARIO, "the scenario (INI)").withRequiredArg().required();
        parser.accepts(ENTRY, "an entry's caller address, http://IP:PORT; may be repeated")
                .withRequiredArg()
                .ofType(URI.class);
        parser.accepts(SEED, "the seed of the arrivals")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        parser.accepts(LABEL, "names the run in results").withRequiredArg().defaultsTo("run");
        parser.accepts(RESULT, "the file for the result in JSON").withRequiredArg();
        parser.accepts(JSON, "print the result as JSON");
        parser.accepts(
                PRINT_CONFIGURATION, "print the operators' configuration that the scenario needs, and send nothing");
    }

    // -- commands

    @Override
    public ExitCode run(OptionSet options, Console console) throws CommandException {
        Scenario scenario = readScenario((String) options.valueOf(SCENARIO));
        if (options.has(PRINT_CONFIGURATION)) {
            console.out().print(LoadConfiguration.text(scenario));
            return ExitCode.OK;
        }
        long seed = (Long) options.valueOf(SEED);
        if (!options.has(ENTRY)) {
            throw CommandException.usage("load: --entry is missing; see --help");
        }
        LoadResult result = runLoad(scenario, seed, options, console);
        console.out().println(options.has(JSON) ? LoadReport.json(result) : LoadReport.table(result));
        if (options.has(RESULT)) {
            writeResult(Path.of((String) options.valueOf(RESULT)), result);
        }
        return ExitCode.OK;
    }

    private static LoadResult runLoad(Scenario scenario, long seed, OptionSet options, Console console)
            throws CommandException {
        List<URI> entries =
                options.valuesOf(ENTRY).stream().map(URI.class::cast).toList();
        List<Arrival> trace = Trace.generate(scenario, seed);
        try {
            List<Outcome> outcomes = LoadRun.run(
                    scenario,
                    new LoadTarget(entries),
                    trace,
                    line -> console.err().println(line));
            return LoadResult.of(scenario, (String) options.valueOf(LABEL), seed, trace, outcomes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw CommandException.failed("load: interrupted");
        }
    }

    private static Scenario readScenario(String file) throws CommandException {
        try {
            return ScenarioReader.read(file, Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            throw CommandException.usage("load: " + file + " cannot be read");
        } catch (IllegalArgumentException e) {
            throw CommandException.usage(e.getMessage());
        }
    }

    private static void writeResult(Path file, LoadResult result) throws CommandException {
        try {
            Files.writeString(file, LoadReport.json(result));
        } catch (IOException e) {
            throw CommandException.failed("load: " + file + " cannot be written");
        }
    }
}

package org.geraniumford.daemon.load;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The command {@code geraniumford load}: runs a scenario against running entries. */
public final class LoadCommand {
    private static final int OK = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> scenarioFile =
            parser.accepts("scenario", "the scenario (INI)").withRequiredArg().required();
    private final OptionSpec<URI> entries = parser.accepts("entry", "an entry's caller address; may be repeated")
            .withRequiredArg()
            .ofType(URI.class);
    private final OptionSpec<Long> seed = parser.accepts("seed", "the seed of the arrivals")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(1L);
    private final OptionSpec<String> label = parser.accepts("label", "names the run in results")
            .withRequiredArg()
            .defaultsTo("run");
    private final OptionSpec<String> resultFile =
            parser.accepts("result", "the file for the result in JSON").withRequiredArg();
    private final OptionSpec<Void> json = parser.accepts("json", "print the result as JSON");
    private final OptionSpec<Void> configuration =
            parser.accepts("print-configuration", "print the operators' configuration that the scenario needs");
    private final OptionSpec<Void> help =
            parser.accepts("help", "print this help").forHelp();

    private LoadCommand() {}

    /**
     * Runs the command.
     *
     * @param args the options
     * @param out receives progress and the result
     * @return 0 if done, 1 if it failed, 2 if the options or the scenario are wrong
     */
    public static int run(String[] args, PrintWriter out) {
        return new LoadCommand().runWith(args, out);
    }

    private int runWith(String[] args, PrintWriter out) {
        try {
            return runWith(parser.parse(args), out);
        } catch (OptionException | IllegalArgumentException e) {
            out.println("load: " + e.getMessage());
            return USAGE;
        } catch (IOException e) {
            out.println("load: " + e);
            return FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILED;
        } finally {
            out.flush();
        }
    }

    private int runWith(OptionSet options, PrintWriter out) throws IOException, InterruptedException {
        if (options.has(help)) {
            parser.printHelpOn(out);
            return OK;
        }
        String file = options.valueOf(scenarioFile);
        Scenario scenario = ScenarioReader.read(file, Files.readAllBytes(Path.of(file)));
        if (options.has(configuration)) {
            out.print(LoadConfiguration.text(scenario));
            return OK;
        }
        LoadTarget target = new LoadTarget(options.valuesOf(entries));
        long chosen = options.valueOf(seed);
        List<Arrival> trace = Trace.of(scenario, chosen);
        List<Outcome> outcomes = LoadRun.run(scenario, target, trace, line -> progress(out, line));
        LoadResult result = LoadResult.of(scenario, options.valueOf(label), chosen, trace, outcomes);
        out.println(options.has(json) ? LoadReport.json(result) : LoadReport.table(result));
        if (options.has(resultFile)) {
            Files.writeString(Path.of(options.valueOf(resultFile)), LoadReport.json(result));
        }
        return OK;
    }

    private static void progress(PrintWriter out, String line) {
        out.println(line);
        out.flush();
    }
}

package org.geraniumford.daemon.command;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.geraniumford.core.configuration.ConfigurationFile;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.verdict.Verdict;
import org.geraniumford.daemon.configuration.ConfigurationPublisher;
import org.geraniumford.transport.platform.PlatformClient;

/** Checks, compares, applies and shows the operators' configuration. */
final class ConfigCommand implements Command {
    private static final String PLATFORM = "platform";
    private static final String BASE = "base";
    private static final String VERSION = "version-number";
    private static final String LIMIT = "limit";
    private static final int DEFAULT_HISTORY_LIMIT = 20;

    // -- declaration

    @Override
    public String name() {
        return "config";
    }

    @Override
    public String arguments() {
        return "check|diff|apply|show|history [FOLDER]";
    }

    @Override
    public String summary() {
        return "Checks, compares, applies and shows the operators' folder of configuration files.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(PLATFORM, "the platform's base address; needed by all but check")
                .withRequiredArg()
                .ofType(URI.class);
        parser.accepts(BASE, "apply only if this version is in force")
                .withRequiredArg()
                .ofType(Long.class);
        parser.accepts(VERSION, "the version to show; the one in force if not given")
                .withRequiredArg()
                .ofType(Long.class);
        parser.accepts(LIMIT, "how many versions history prints at most")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(DEFAULT_HISTORY_LIMIT);
    }

    // -- commands

    @Override
    public ExitCode run(OptionSet options, Console console) throws CommandException {
        List<String> arguments =
                options.nonOptionArguments().stream().map(String::valueOf).toList();
        String action = arguments.isEmpty() ? "" : arguments.get(0);
        return switch (action) {
            case "check" -> new ConfigurationOperations(console).check(readFolder(arguments));
            case "diff" ->
                withPublisher(
                        options,
                        publisher -> new ConfigurationOperations(console).diff(publisher, readFolder(arguments)));
            case "apply" ->
                withPublisher(
                        options,
                        publisher -> new ConfigurationOperations(console)
                                .apply(publisher, readFolder(arguments), baseVersion(options)));
            case "show" ->
                withPublisher(
                        options,
                        publisher ->
                                new ConfigurationOperations(console).show(publisher, longOption(options, VERSION)));
            case "history" ->
                withPublisher(
                        options,
                        publisher -> new ConfigurationOperations(console)
                                .history(publisher, (Integer) options.valueOf(LIMIT)));
            default ->
                throw CommandException.usage(
                        "config: '" + action + "' is not one of check, diff, apply, show, history; see --help");
        };
    }

    private static ExitCode withPublisher(OptionSet options, PublisherAction action) throws CommandException {
        if (!options.has(PLATFORM)) {
            throw CommandException.usage("config: --platform is missing; see --help");
        }
        try (AsyncHttpClient client = Dsl.asyncHttpClient(PlatformClient.httpClientConfiguration())) {
            PlatformClient platform = PlatformClient.of((URI) options.valueOf(PLATFORM), client);
            return action.run(ConfigurationPublisher.of(platform));
        } catch (IOException e) {
            throw CommandException.failed("config: the connection did not close: " + e.getMessage());
        } catch (RuntimeException e) {
            Refusal refusal = RefusalException.refusalOf(e, Verdict.NOT_RUN);
            throw CommandException.failed(
                    "config: the platform does not answer: " + refusal.reason().label() + ", " + refusal.detail());
        }
    }

    private static Optional<Long> baseVersion(OptionSet options) {
        return longOption(options, BASE);
    }

    private static Optional<Long> longOption(OptionSet options, String name) {
        return Optional.ofNullable((Long) options.valueOf(name));
    }

    private static List<ConfigurationFile> readFolder(List<String> arguments) throws CommandException {
        if (arguments.size() != 2) {
            throw CommandException.usage("config " + arguments.get(0) + ": give one folder; see --help");
        }
        Path folder = new File(arguments.get(1)).toPath();
        try {
            return ConfigurationFolder.read(folder);
        } catch (IOException e) {
            throw CommandException.usage("config: cannot read the folder " + folder + ": "
                    + e.getClass().getSimpleName());
        }
    }

    /** An action that uses the configuration in the platform's store. */
    private interface PublisherAction {
        ExitCode run(ConfigurationPublisher publisher) throws CommandException;
    }
}

package org.geraniumford.daemon.command;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.UUID;
import org.geraniumford.core.configuration.ConfigurationFile;
import org.geraniumford.core.configuration.ConfigurationHead;
import org.geraniumford.core.configuration.ConfigurationParser;
import org.geraniumford.core.configuration.ConfigurationProblem;
import org.geraniumford.core.configuration.FolderManifest;
import org.geraniumford.core.configuration.MergedFolder;
import org.geraniumford.core.configuration.ParsedConfiguration;
import org.geraniumford.core.configuration.Publication;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.daemon.configuration.ConfigurationPublisher;

/**
 * Implements the actions of {@link ConfigCommand} and prints their results. Waits for the responses of the platform's
 * store. If a query of the store fails, the method throws a {@link java.util.concurrent.CompletionException}.
 */
final class ConfigurationOperations {
    private final Console console;

    ConfigurationOperations(Console console) {
        this.console = console;
    }

    // -- commands

    /** Parses the files without the platform, and prints their number or all problems found. */
    ExitCode check(List<ConfigurationFile> files) {
        if (ConfigurationParser.parse(1, MergedFolder.ofAll(files)) instanceof ParsedConfiguration.Rejected rejected) {
            return reportProblems(rejected.problems());
        }
        console.out().println("ok: " + files.size() + " files");
        return ExitCode.OK;
    }

    /** Prints the version in force, and the files that the folder adds to it, removes from it or changes. */
    ExitCode diff(ConfigurationPublisher publisher, List<ConfigurationFile> files) {
        Optional<ConfigurationHead> head = publisher.head().join();
        SortedMap<String, String> digestsInForce = head.flatMap(
                        current -> publisher.manifest(current).join())
                .orElse(FolderManifest.empty())
                .digests();
        SortedMap<String, String> localDigests = FolderManifest.ofAll(files).digests();
        TreeSet<String> names = new TreeSet<>(digestsInForce.keySet());
        names.addAll(localDigests.keySet());
        console.out()
                .println("in force: version "
                        + head.map(ConfigurationHead::version).orElse(0L));
        names.stream()
                .map(name -> describeChange(name, digestsInForce, localDigests))
                .flatMap(Optional::stream)
                .forEach(console.out()::println);
        return ExitCode.OK;
    }

    /** Returns the line to print for a file, or empty if both maps have the same digest for it. */
    private static Optional<String> describeChange(
            String name, Map<String, String> digestsInForce, Map<String, String> localDigests) {
        if (!digestsInForce.containsKey(name)) {
            return Optional.of("added    " + name);
        } else if (!localDigests.containsKey(name)) {
            return Optional.of("removed  " + name);
        }
        return digestsInForce.get(name).equals(localDigests.get(name))
                ? Optional.empty()
                : Optional.of("changed  " + name);
    }

    /**
     * Publishes the files as the configuration in force.
     *
     * @param publisher publishes the files
     * @param files the whole folder
     * @param base the version from which the folder was edited, 0 if none was in force; if another version is in force,
     *     nothing is applied; empty accepts any version
     */
    ExitCode apply(ConfigurationPublisher publisher, List<ConfigurationFile> files, Optional<Long> base) {
        String commitId = UUID.randomUUID().toString();
        Publication.Outcome outcome = publisher.apply(files, base, commitId).join();
        if (outcome instanceof Publication.Outcome.Applied applied) {
            console.out().println("applied: version " + applied.version() + ", commit " + commitId);
            return ExitCode.OK;
        } else if (outcome instanceof Publication.Outcome.Unchanged unchanged) {
            console.out().println("unchanged: version " + unchanged.version() + " is the same");
            return ExitCode.OK;
        } else if (outcome instanceof Publication.Outcome.Rejected rejected) {
            return reportProblems(rejected.problems());
        } else if (outcome instanceof Publication.Outcome.Conflicted conflicted) {
            return reportFailure("nothing was applied: version " + conflicted.version()
                    + " came first; these files differ: " + String.join(", ", conflicted.files()));
        }
        Refusal refusal = ((Publication.Outcome.Failed) outcome).refusal();
        return reportFailure("the platform's store failed (" + refusal.reason().label() + ", "
                + refusal.verdict().label() + "); look for commit " + commitId + " in config history");
    }

    /** Prints the merged text of a version, or of the one in force if no version is given. */
    ExitCode show(ConfigurationPublisher publisher, Optional<Long> version) {
        Optional<ConfigurationHead> head = version.isPresent()
                ? publisher.headOfVersion(version.get()).join()
                : publisher.head().join();
        Optional<String> text = head.flatMap(found -> publisher.text(found).join());
        text.ifPresent(console.out()::print);
        return text.isPresent() ? ExitCode.OK : reportFailure("there is no such version");
    }

    /** Prints at most {@code limit} of the newest versions, oldest first. */
    ExitCode history(ConfigurationPublisher publisher, int limit) {
        long newest = publisher.head().join().map(ConfigurationHead::version).orElse(0L);
        Table table = Table.of("VERSION", "COMMIT", "DIGEST");
        publisher
                .history(Math.max(0, newest - limit), limit)
                .join()
                .forEach(head -> table.addRow(head.version(), head.commitId(), head.digest()));
        console.out().println(table.render());
        return ExitCode.OK;
    }

    private ExitCode reportProblems(List<ConfigurationProblem> problems) {
        problems.forEach(problem -> console.err().println(problem));
        return reportFailure("nothing was applied: " + problems.size() + " problems");
    }

    private ExitCode reportFailure(String message) {
        console.err().println("geraniumford: config: " + message);
        return ExitCode.FAILED;
    }
}

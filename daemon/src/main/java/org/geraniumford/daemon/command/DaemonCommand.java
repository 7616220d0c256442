package org.geraniumford.daemon.command;

import java.io.File;
import java.net.BindException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.geraniumford.daemon.settings.SettingsException;
import org.geraniumford.daemon.settings.SettingsLoader;
import org.geraniumford.daemon.settings.SettingsSchema;
import org.geraniumford.transport.log.LogEvent;

/**
 * Starts a daemon and runs it until it closes or the process receives a signal to stop. On such a signal the daemon is
 * drained for at most its drain timeout, and then closed.
 *
 * @param <S> the type of the daemon's settings
 */
final class DaemonCommand<S> implements Command {
    private static final String SETTINGS = "settings";
    private static final String CHECK = "check";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private final SettingsSchema<S> schema;
    private final String summary;
    private final Function<S, Duration> drainTimeout;
    private final Function<S, CompletableFuture<RunningDaemon>> starter;

    DaemonCommand(
            SettingsSchema<S> schema,
            String summary,
            Function<S, Duration> drainTimeout,
            Function<S, CompletableFuture<RunningDaemon>> starter) {
        this.schema = schema;
        this.summary = summary;
        this.drainTimeout = drainTimeout;
        this.starter = starter;
    }

    // -- declaration

    @Override
    public String name() {
        return schema.daemon();
    }

    @Override
    public String arguments() {
        return "--settings FILE";
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(SETTINGS, "the process's settings (INI)")
                .withRequiredArg()
                .ofType(File.class)
                .required();
        parser.accepts(CHECK, "check the settings and start nothing");
    }

    // -- commands

    @Override
    public ExitCode run(OptionSet options, Console console) throws CommandException {
        File file = (File) options.valueOf(SETTINGS);
        S settings = loadSettings(file);
        if (options.has(CHECK)) {
            console.out().println(file + ": ok");
            return ExitCode.OK;
        }
        RunningDaemon daemon = start(settings);
        Thread hook = new Thread(() -> stopAndHalt(daemon, drainTimeout.apply(settings)), "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        console.out().println("ready " + daemon.formatAddresses());
        console.out().flush();
        daemon.closed().join();
        return ExitCode.OK;
    }

    private S loadSettings(File file) throws CommandException {
        try {
            return SettingsLoader.load(schema, file.toPath());
        } catch (SettingsException e) {
            throw CommandException.usage(e.getMessage());
        }
    }

    private RunningDaemon start(S settings) throws CommandException {
        try {
            return starter.apply(settings).get(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw CommandException.failed(name() + ": cannot start: " + describe(unwrapFutureFailure(e)));
        } catch (TimeoutException e) {
            throw CommandException.failed(name() + ": did not start within " + START_TIMEOUT.toSeconds() + " s");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw CommandException.failed(name() + ": interrupted during the start");
        }
    }

    /**
     * Drains and closes the daemon when the JVM shuts down. Halts the JVM, because after a signal its exit code would
     * otherwise report the signal.
     */
    private static void stopAndHalt(RunningDaemon daemon, Duration timeout) {
        ExitCode code = drain(daemon, timeout);
        daemon.close();
        Runtime.getRuntime().halt(code.status());
    }

    private static ExitCode drain(RunningDaemon daemon, Duration timeout) {
        try {
            daemon.drain().get(timeout.toMillis(), TimeUnit.MILLISECONDS);
            LogEvent.of("drained").info();
            return ExitCode.OK;
        } catch (TimeoutException e) {
            LogEvent.of("drain_timeout").with("after_ms", timeout.toMillis()).warn();
        } catch (ExecutionException e) {
            LogEvent.of("drain_failed").error(unwrapFutureFailure(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.FAILED;
    }

    /** Returns the failure without the exceptions in which futures wrap it. */
    private static Throwable unwrapFutureFailure(Throwable failure) {
        boolean isWrapper = failure instanceof ExecutionException || failure instanceof CompletionException;
        return isWrapper && failure.getCause() != null ? unwrapFutureFailure(failure.getCause()) : failure;
    }

    private static String describe(Throwable failure) {
        String message =
                String.valueOf(failure.getMessage()).lines().findFirst().orElse("");
        return failure instanceof BindException ? "address in use or not local: " + message : message;
    }
}

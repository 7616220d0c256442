package org.geraniumford.daemon.command;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.geraniumford.daemon.operator.ProcessStatus;

/** Tells processes to take no new work, and waits for what runs. */
final class DrainCommand implements Command {
    private static final String TIMEOUT = "timeout";
    private static final int DEFAULT_TIMEOUT_SECONDS = 300;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String arguments() {
        return "--at IP:PORT,...";
    }

    @Override
    public String summary() {
        return "Tells processes to take no new work and waits until what runs has ended.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        OperatorOptions.declare(parser);
        parser.accepts(TIMEOUT, "the longest wait in seconds; 0 does not wait")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(DEFAULT_TIMEOUT_SECONDS);
    }

    @Override
    public ExitCode run(OptionSet options, Console console) throws CommandException {
        List<InetSocketAddress> addresses = OperatorOptions.addresses(options);
        int seconds = (Integer) options.valueOf(TIMEOUT);
        try (OperatorClient client = OperatorClient.open()) {
            for (InetSocketAddress address : addresses) {
                client.drain(address);
            }
            long deadline = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
            boolean ended = true;
            for (InetSocketAddress address : addresses) {
                ended &= seconds == 0 || awaitDrained(client, address, deadline, console);
            }
            console.out().println(summary(options, ended, seconds));
            return ended ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private static String summary(OptionSet options, boolean ended, int seconds) {
        if (OperatorOptions.isJson(options)) {
            return "{\"draining\":true,\"ended\":" + (ended && seconds > 0) + "}";
        }
        if (seconds == 0) {
            return "draining";
        }
        return ended ? "drained" : "still running after " + seconds + " s";
    }

    /** Waits until a process has no requests left or has ended. */
    private static boolean awaitDrained(
            OperatorClient client, InetSocketAddress address, long deadline, Console console) throws CommandException {
        int left = requestsLeft(client, address);
        while (left > 0 && System.nanoTime() - deadline < 0) {
            console.err().println(OperatorClient.formatAddress(address) + ": " + left + " requests left");
            pause();
            left = requestsLeft(client, address);
        }
        return left == 0;
    }

    private static int requestsLeft(OperatorClient client, InetSocketAddress address) {
        try {
            ProcessStatus status = client.status(address);
            return status.running() + status.waiting();
        } catch (CommandException e) {
            return 0;
        }
    }

    private static void pause() throws CommandException {
        try {
            Thread.sleep(POLL_INTERVAL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw CommandException.failed("interrupted");
        }
    }
}

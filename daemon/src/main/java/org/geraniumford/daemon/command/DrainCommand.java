package org.geraniumford.daemon.command;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.geraniumford.daemon.operator.ProcessStatus;

/** Drains processes: they refuse new requests, and the command waits until their requests have ended. */
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
        return "Drains processes: they refuse new requests; waits until no request runs.";
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
        int timeoutSeconds = (Integer) options.valueOf(TIMEOUT);
        try (OperatorClient client = OperatorClient.open()) {
            for (InetSocketAddress address : addresses) {
                client.drain(address);
            }
            long deadlineNanos =
                    System.nanoTime() + Duration.ofSeconds(timeoutSeconds).toNanos();
            boolean drained = true;
            for (InetSocketAddress address : addresses) {
                drained &= timeoutSeconds == 0 || awaitDrained(client, address, deadlineNanos, console);
            }
            console.out().println(formatResult(options, drained, timeoutSeconds));
            return drained ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private static String formatResult(OptionSet options, boolean drained, int timeoutSeconds) {
        if (OperatorOptions.isJson(options)) {
            return "{\"draining\":true,\"ended\":" + (drained && timeoutSeconds > 0) + "}";
        }
        if (timeoutSeconds == 0) {
            return "draining";
        }
        return drained ? "drained" : "still running after " + timeoutSeconds + " s";
    }

    /** Waits until a process has no requests left. Returns false if it still has some at the deadline. */
    private static boolean awaitDrained(
            OperatorClient client, InetSocketAddress address, long deadlineNanos, Console console)
            throws CommandException {
        int remaining = countRequests(client, address);
        while (remaining > 0 && System.nanoTime() - deadlineNanos < 0) {
            console.err().println(OperatorClient.formatAddress(address) + ": " + remaining + " requests left");
            pause();
            remaining = countRequests(client, address);
        }
        return remaining == 0;
    }

    /**
     * Returns the number of requests left. Returns 0 if the status cannot be read, because a process ends once it is
     * drained and then no longer responds.
     */
    private static int countRequests(OperatorClient client, InetSocketAddress address) {
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

package org.geraniumford.standins;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import org.geraniumford.standins.StandInCommand.RunningStandIn;

/** The command line that starts one stand-in. */
public final class Main {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs one stand-in until the process is terminated.
     *
     * @param args the name of the stand-in, then its options
     */
    public static void main(String[] args) {
        PrintWriter console = new PrintWriter(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8);
        System.exit(run(args, console));
    }

    private static int run(String[] args, PrintWriter console) {
        Optional<StandInCommand> command = args.length == 0 ? Optional.empty() : StandInCommand.find(args[0]);
        if (command.isEmpty()) {
            console.println("usage: stand-in engine|service|platform [--help] [options]");
            return EXIT_USAGE;
        }
        try {
            return run(command.get(), Arrays.copyOfRange(args, 1, args.length), console);
        } catch (OptionException | IllegalArgumentException e) {
            console.println("stand-in: " + e.getMessage());
            return EXIT_USAGE;
        } catch (CompletionException | IOException e) {
            console.println("stand-in: " + e.getMessage());
            return EXIT_FAILURE;
        }
    }

    private static int run(StandInCommand command, String[] args, PrintWriter console) throws IOException {
        if (Arrays.asList(args).contains("--help")) {
            command.printHelp(console);
            return 0;
        }
        RunningStandIn running = command.start(args);
        CountDownLatch neverReleased = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(running::close, "stop"));
        console.println("ready address=127.0.0.1:" + running.address().getPort());
        return await(neverReleased);
    }

    /** Blocks until the process is terminated; the latch is never counted down. */
    private static int await(CountDownLatch neverReleased) {
        try {
            neverReleased.await();
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILURE;
        }
    }
}

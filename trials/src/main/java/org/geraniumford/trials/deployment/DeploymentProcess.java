package org.geraniumford.trials.deployment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;

/** One process of a deployment. */
public final class DeploymentProcess implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
    private static final String READY_PREFIX = "ready ";
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

    private final String name;
    private final Process process;
    private final Map<String, String> addresses;

    private DeploymentProcess(String name, Process process, Map<String, String> addresses) {
        this.name = name;
        this.process = process;
        this.addresses = addresses;
    }

    // -- construction

    /**
     * Starts a process and waits until it says that it listens.
     *
     * @param name the process's name
     * @param log the file that takes its log
     * @param mainClass the class to run
     * @param arguments its arguments
     * @return the running process
     * @throws IOException if it cannot be started or ends before it listens
     */
    public static DeploymentProcess start(String name, Path log, Class<?> mainClass, List<String> arguments)
            throws IOException {
        Process process = new ProcessBuilder(commandLine(mainClass, arguments))
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        CompletableFuture<Map<String, String>> ready = new CompletableFuture<>();
        Thread reader = new Thread(() -> readOutput(process, ready), name + "-output");
        reader.setDaemon(true);
        reader.start();
        try {
            return new DeploymentProcess(name, process, ready.get(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        } catch (ExecutionException | TimeoutException e) {
            process.destroyForcibly();
            throw new IOException(name + " did not start; see " + log, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            process.destroyForcibly();
            throw new IOException(name + " was interrupted", e);
        }
    }

    /**
     * Builds the command line of a class of this class path.
     *
     * @param mainClass the class to run
     * @param arguments its arguments
     * @return the command line
     */
    public static List<String> commandLine(Class<?> mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JAVA_OPTIONS);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass.getName());
        command.addAll(arguments);
        return List.copyOf(command);
    }

    private static void readOutput(Process process, CompletableFuture<Map<String, String>> ready) {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String line = lines.readLine();
            while (line != null) {
                if (line.startsWith(READY_PREFIX)) {
                    ready.complete(parseAddresses(line));
                }
                line = lines.readLine();
            }
            ready.completeExceptionally(new IOException("it ended"));
        } catch (IOException e) {
            ready.completeExceptionally(e);
        }
    }

    private static Map<String, String> parseAddresses(String line) {
        return Arrays.stream(line.split(" "))
                .filter(word -> word.indexOf('=') > 0)
                .collect(Collectors.toUnmodifiableMap(
                        word -> word.substring(0, word.indexOf('=')), word -> word.substring(word.indexOf('=') + 1)));
    }

    // -- queries

    /**
     * Returns the process's name.
     *
     * @return the name it was started with
     */
    public String name() {
        return name;
    }

    /**
     * Returns where the process listens.
     *
     * @param kind the word in its ready line, such as {@code link}
     * @return the host and port
     */
    public String address(String kind) {
        String address = addresses.get(kind);
        if (address == null) {
            throw new IllegalArgumentException(name + " has no address named " + kind + ", only " + addresses);
        }
        return address;
    }

    /**
     * Says whether the process lives.
     *
     * @return false once it has ended
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    // -- commands

    /** Ends the process at once, as a crash does. */
    public void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Freezes the process. */
    public void pause() {
        signal("STOP");
    }

    /** Lets a frozen process go on. */
    public void resume() {
        signal("CONT");
    }

    /** Asks the process to end in order, without waiting. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Waits until the process has ended.
     *
     * @return its exit code
     * @throws IllegalStateException if it does not end in time
     */
    public int awaitExit() {
        try {
            if (!process.waitFor(STOP_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                throw new IllegalStateException(name + " did not end");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(name + " was interrupted", e);
        }
    }

    /** Ends the process at once if it still lives. */
    @Override
    public void close() {
        if (isAlive()) {
            kill();
        }
    }

    private void signal(String signal) {
        try {
            int exit = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            if (exit != 0) {
                throw new IllegalStateException("kill -" + signal + " of " + name + " failed with " + exit);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(name + " was interrupted", e);
        }
    }
}

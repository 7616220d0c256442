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

/** A Java process of a deployment that prints its addresses when it is ready. */
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
     * Starts a process and waits until it prints its ready line, which lists its addresses.
     *
     * @param name the process's name
     * @param log the file to which its standard error is appended
     * @param mainClass the class to run
     * @param arguments the arguments of its main method
     * @return the running process
     * @throws IOException if the process cannot be started, ends before its ready line, prints none within 30 s, or the
     *     waiting thread is interrupted; a process that was started is then killed
     */
    public static DeploymentProcess start(String name, Path log, Class<?> mainClass, List<String> arguments)
            throws IOException {
        Process process = new ProcessBuilder(commandLine(mainClass, arguments))
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        CompletableFuture<Map<String, String>> ready = new CompletableFuture<>();
        Thread outputThread = new Thread(() -> readOutput(process, ready), name + "-output");
        outputThread.setDaemon(true);
        outputThread.start();
        try {
            return new DeploymentProcess(name, process, ready.get(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        } catch (ExecutionException | TimeoutException e) {
            process.destroyForcibly();
            throw new IOException(name + " did not become ready; see " + log, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            process.destroyForcibly();
            throw new IOException(name + ": interrupted while waiting for its ready line", e);
        }
    }

    /**
     * Returns the command line that runs a class with the Java installation and the class path of this process, and
     * with a heap of at most 128 MiB.
     *
     * @param mainClass the class to run
     * @param arguments the arguments of its main method
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
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String line = reader.readLine();
            while (line != null) {
                if (line.startsWith(READY_PREFIX)) {
                    ready.complete(parseAddresses(line));
                }
                line = reader.readLine();
            }
            ready.completeExceptionally(new IOException("standard output ended before the ready line"));
        } catch (IOException e) {
            ready.completeExceptionally(e);
        }
    }

    /** Returns the addresses by their keys from a ready line, such as {@code ready address=127.0.0.1:8080}. */
    private static Map<String, String> parseAddresses(String line) {
        return Arrays.stream(line.split(" "))
                .filter(field -> field.indexOf('=') > 0)
                .collect(Collectors.toUnmodifiableMap(
                        field -> field.substring(0, field.indexOf('=')),
                        field -> field.substring(field.indexOf('=') + 1)));
    }

    // -- queries

    /**
     * Returns the process's name.
     *
     * @return the name with which it was started
     */
    public String name() {
        return name;
    }

    /**
     * Returns an address on which the process listens.
     *
     * @param key the key of the address in its ready line, such as {@code link}
     * @return the host and port
     * @throws IllegalArgumentException if the ready line has no such key
     */
    public String address(String key) {
        String address = addresses.get(key);
        if (address == null) {
            throw new IllegalArgumentException(
                    name + " has no address named " + key + "; its ready line has " + addresses);
        }
        return address;
    }

    /**
     * Returns whether the process is running.
     *
     * @return false once it has exited
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    // -- commands

    /**
     * Kills the process with SIGKILL, as in a crash, and waits until it has exited.
     *
     * @throws IllegalStateException if it does not exit within 30 s, or the waiting thread is interrupted
     */
    public void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Freezes the process with SIGSTOP. */
    public void pause() {
        sendSignal("STOP");
    }

    /** Continues a frozen process with SIGCONT. */
    public void resume() {
        sendSignal("CONT");
    }

    /** Requests a graceful shutdown with SIGTERM, without waiting for the exit. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Waits until the process has exited.
     *
     * @return its exit code
     * @throws IllegalStateException if it does not exit within 30 s, or the waiting thread is interrupted
     */
    public int awaitExit() {
        try {
            if (!process.waitFor(STOP_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                throw new IllegalStateException(name + " did not exit within the stop timeout");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(name + ": interrupted while waiting for its exit", e);
        }
    }

    /** Kills the process if it is still running. */
    @Override
    public void close() {
        if (isAlive()) {
            kill();
        }
    }

    private void sendSignal(String signal) {
        try {
            int exitCode = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            if (exitCode != 0) {
                throw new IllegalStateException(
                        "kill -" + signal + " of " + name + " failed with exit code " + exitCode);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(name + ": interrupted while sending a signal", e);
        }
    }
}

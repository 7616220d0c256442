package org.geraniumford.daemon.command;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumford.daemon.operator.HostStatus;
import org.geraniumford.daemon.operator.ManagedProcess;
import org.geraniumford.daemon.operator.OperatorServer;
import org.geraniumford.daemon.operator.ProcessStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class OperatorCommandsTest {
    private static final HostStatus HOST =
            new HostStatus("runner-1", "runner", "10.0.0.1:80", "kigali-b", true, true, 3, 4, 6, 12_000);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final Console console = new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
    private final AtomicInteger running = new AtomicInteger(2);
    private OperatorServer server;

    @BeforeEach
    void start() {
        server = OperatorServer.start(
                        group,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                        new FakeProcess())
                .join();
    }

    @AfterEach
    void stop() {
        server.close();
        group.shutdownGracefully(0, 5, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private ExitCode run(String command, String... options) {
        String address = "127.0.0.1:" + server.address().getPort();
        List<String> arguments = java.util.stream.Stream.concat(
                        java.util.stream.Stream.of(command, "--at", address), java.util.Arrays.stream(options))
                .toList();
        return Main.commandLine().run(arguments, console);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void shouldShowHowManyVersionsAProcessIsBehindWhenAHostReportsALaterOne() {
        assertThat(run("status")).isEqualTo(ExitCode.OK);
        assertThat(output().lines().toList())
                .anySatisfy(line -> assertThat(line.split(" +"))
                        .containsExactly("entry-1", "entry", "kigali-a", "ready", "5", "1", "2", "0"))
                .anySatisfy(line -> assertThat(line.split(" +"))
                        .containsExactly(
                                "entry-1",
                                "runner-1",
                                "runner",
                                "10.0.0.1:80",
                                "kigali-b",
                                "open",
                                "yes",
                                "4",
                                "6",
                                "12"));
    }

    @Test
    void shouldPrintJsonWhenTheJsonOptionIsGiven() {
        assertThat(run("status", "--json")).isEqualTo(ExitCode.OK);
        assertThat(output()).contains("\"process\" : \"entry-1\"");
    }

    @Test
    void shouldFailAndPrintTheAddressWhenAProcessDoesNotRespond() {
        server.close();
        assertThat(run("status")).isEqualTo(ExitCode.FAILED);
        assertThat(err.toString(StandardCharsets.UTF_8))
                .contains("127.0.0.1:" + server.address().getPort());
    }

    @Test
    void shouldWaitForRunningRequestsWhenDraining() {
        assertThat(run("drain")).isEqualTo(ExitCode.OK);
        assertThat(running).hasValue(0);
        assertThat(output()).contains("drained");
    }

    @Test
    void shouldPrintTheRecordOnlyWhenTheExplainedRequestIsKnown() {
        assertThat(run("explain", "r-1")).isEqualTo(ExitCode.OK);
        assertThat(output()).contains("candidates\n  -\n    host runner-1");
        assertThat(run("explain", "r-2")).isEqualTo(ExitCode.FAILED);
        assertThat(run("explain", "no/path")).isEqualTo(ExitCode.USAGE);
    }

    /** Has two running requests. Once it is draining, one of them ends at each status request. */
    private final class FakeProcess implements ManagedProcess {
        private volatile boolean draining;

        @Override
        public boolean isReady() {
            return !draining;
        }

        @Override
        public ProcessStatus status() {
            int runningRequests = draining ? running.decrementAndGet() : running.get();
            return new ProcessStatus(
                    "entry-1", "entry", "kigali-a", 1, isReady(), draining, 5, runningRequests, 0, 0, List.of(HOST));
        }

        @Override
        public Optional<String> explain(String requestId) {
            return requestId.equals("r-1")
                    ? Optional.of("{\"candidates\":[{\"host\":\"runner-1\"}]}")
                    : Optional.empty();
        }

        @Override
        public CompletableFuture<Void> drain() {
            draining = true;
            return CompletableFuture.completedFuture(null);
        }
    }
}

package org.geraniumford.trials.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostState;
import org.geraniumford.trials.caller.Caller;
import org.geraniumford.trials.caller.ModelResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Kills and freezes real processes, takes the platform down, and checks the responses that callers receive. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class ProcessFailureTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final List<String> ENGINE_OPTIONS = List.of("--prefill-micros", "10", "--decode-micros", "10000");
    private static final DeploymentPlan PLAN =
            SmallDeployment.plan(Path.of("..", "examples", "configuration"), ENGINE_OPTIONS);
    private static final int MAX_TOKENS = 100;
    private static final int OK = 200;
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private Deployment deployment;

    @BeforeAll
    void start(@TempDir Path folder) throws IOException {
        deployment = Deployment.start(PLAN, folder);
    }

    @AfterAll
    void stop() {
        if (deployment != null) {
            deployment.close();
        }
    }

    // -- streams

    /** The ways in which a runner fails while it streams a response. */
    enum RunnerFailure {
        ENGINE_KILLED {
            @Override
            void inject(Deployment deployment, String runner) {
                deployment.engine(runner).kill();
            }

            @Override
            void recover(Deployment deployment, String runner) throws IOException {
                deployment.restartEngine(runner);
            }
        },
        SIDECAR_KILLED {
            @Override
            void inject(Deployment deployment, String runner) {
                deployment.process(runner).kill();
            }

            @Override
            void recover(Deployment deployment, String runner) throws IOException {
                deployment.restartSidecar(runner);
            }
        },
        BOTH_KILLED {
            @Override
            void inject(Deployment deployment, String runner) {
                deployment.engine(runner).kill();
                deployment.process(runner).kill();
            }

            @Override
            void recover(Deployment deployment, String runner) throws IOException {
                deployment.restartEngine(runner);
                deployment.restartSidecar(runner);
            }
        },
        ENGINE_FROZEN {
            @Override
            void inject(Deployment deployment, String runner) {
                deployment.engine(runner).pause();
            }

            @Override
            void recover(Deployment deployment, String runner) {
                deployment.engine(runner).resume();
            }
        },
        SIDECAR_FROZEN {
            @Override
            void inject(Deployment deployment, String runner) {
                deployment.process(runner).pause();
            }

            @Override
            void recover(Deployment deployment, String runner) {
                deployment.process(runner).resume();
            }
        };

        abstract void inject(Deployment deployment, String runner);

        abstract void recover(Deployment deployment, String runner) throws IOException;
    }

    /**
     * Guards against truncated, repeated or missing text in a response. After the first token the engine, its sidecar
     * or both are killed or frozen; the entry must resume the stream at another runner, so that the text equals that of
     * an undisturbed run and more than one attempt is reported.
     */
    @ParameterizedTest
    @EnumSource(RunnerFailure.class)
    void shouldDeliverTheWholeResponseWhenTheRunnerFailsInMidStream(RunnerFailure failure) throws Exception {
        List<String> prompt = prompt("lost in mid stream by " + failure);
        String expectedText = send(0, prompt).text();
        CompletableFuture<String> startedRequestId = new CompletableFuture<>();
        CompletableFuture<ModelResponse> response =
                caller(0, "amahoro").stream("draft", prompt, MAX_TOKENS, startedRequestId::complete);
        String runner = servingRunner(startedRequestId.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        failure.inject(deployment, runner);
        try {
            ModelResponse resumed = response.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            assertThat(resumed.end()).isEqualTo(ModelResponse.StreamEnd.COMPLETE);
            assertThat(resumed.text()).isEqualTo(expectedText);
            assertThat(resumed.attempts()).isGreaterThan(1);
        } finally {
            failure.recover(deployment, runner);
        }
    }

    /** Guards against an entry that closes its callers' running streams, or exits with an error, on SIGTERM. */
    @Test
    void shouldFinishRunningStreamsWhenAnEntryIsTerminated() throws Exception {
        List<String> prompt = prompt("entry stops");
        CompletableFuture<String> startedRequestId = new CompletableFuture<>();
        CompletableFuture<ModelResponse> response =
                caller(1, "amahoro").stream("draft", prompt, MAX_TOKENS, startedRequestId::complete);
        startedRequestId.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        deployment.entry(1).terminate();
        try {
            assertThat(response.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).isComplete())
                    .isTrue();
            assertThat(deployment.entry(1).awaitExit()).isZero();
        } finally {
            deployment.restartEntry(1);
        }
    }

    // -- start and stop

    /**
     * Guards against an entry that needs the platform to start, or that starts without knowledge of the engines'
     * caches. The entry is killed and restarted during an outage of the platform; the same prompt must then find its
     * blocks cached.
     */
    @Test
    void shouldServeAtOnceWithTheSamePrefixesWhenAnEntryRestartsWithoutThePlatform() throws Exception {
        List<String> prompt = prompt("entry restarts");
        ModelResponse before = send(1, prompt);
        deployment.platformAdmin().setFaults("{\"outage\":true}");
        try {
            deployment.entry(1).kill();
            deployment.restartEntry(1);
            await(() -> operatorStatusCode(1, "/ready") == OK);
            ModelResponse after = send(1, prompt);
            assertThat(after.cachedBlocks()).isGreaterThanOrEqualTo(before.blocks() - 1);
        } finally {
            deployment.platformAdmin().setFaults("{\"outage\":false}");
        }
    }

    /** Guards against routing by prefix to a host that the platform's list marks as leaving. */
    @Test
    void shouldTakeNoNewWorkWhenThePlatformListsTheHostAsLeaving() throws Exception {
        List<String> prompt = prompt("host leaves");
        String runner = send(0, prompt).backend();
        String link = deployment.process(runner).address("link");
        deployment.platformAdmin().putHost(runner, "runner", link, "kigali-a", "leaving");
        try {
            await(() -> !send(0, prompt).backend().equals(runner));
            assertThat(send(0, prompt).backend()).isNotEqualTo(runner);
        } finally {
            deployment.platformAdmin().putHost(runner, "runner", link, "kigali-a", "live");
            awaitLive(runner);
        }
    }

    // -- cache

    /**
     * Guards against cache claims of an earlier incarnation: a killed engine restarts at its address with an empty
     * cache.
     */
    @Test
    void shouldReportNoCachedBlocksWhenTheEngineHasRestarted() throws Exception {
        List<String> prompt = prompt("engine restarts");
        String runner = send(0, prompt).backend();
        deployment.engine(runner).kill();
        deployment.restartEngine(runner);
        ModelResponse after = sendUntilComplete(0, prompt);
        assertThat(after.isComplete()).isTrue();
        assertThat(after.cachedBlocks()).isZero();
    }

    // -- support

    private int operatorStatusCode(int entry, String path) {
        URI uri = URI.create("http://" + deployment.entry(entry).address("operator") + path);
        return CLIENT.sendAsync(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.discarding())
                .join()
                .statusCode();
    }

    /** Waits until every daemon lists the host as live and each entry sends it requests that are new to all caches. */
    private void awaitLive(String runner) {
        try (HostListReader reader = new HostListReader()) {
            daemonLinks().forEach(link -> await(() -> isListedLive(reader.hosts(link), runner)));
        }
        for (int entry = 0; entry < PLAN.entryCount(); entry++) {
            awaitNewWork(entry, runner);
        }
    }

    private void awaitNewWork(int entry, String runner) {
        AtomicInteger number = new AtomicInteger();
        await(() -> {
            List<String> prompt = prompt("new to entry " + entry + ", number " + number.incrementAndGet());
            return send(entry, prompt).backend().equals(runner);
        });
    }

    private static boolean isListedLive(List<Host> hosts, String name) {
        return hosts.stream().anyMatch(host -> host.name().equals(name) && host.state() == HostState.LIVE);
    }

    /** Returns the link addresses of all entries and sidecars. */
    private List<String> daemonLinks() {
        Stream<DeploymentProcess> entries =
                IntStream.range(0, PLAN.entryCount()).mapToObj(deployment::entry);
        Stream<DeploymentProcess> sidecars = Stream.concat(
                        PLAN.runners().stream().map(RunnerPlan::name),
                        PLAN.services().stream().map(service -> service + "-host"))
                .map(deployment::process);
        return Stream.concat(entries, sidecars)
                .map(process -> process.address("link"))
                .toList();
    }

    /** Sends the prompt until a response is whole, and returns that response. */
    private ModelResponse sendUntilComplete(int entry, List<String> prompt) {
        AtomicReference<ModelResponse> response = new AtomicReference<>();
        await(() -> {
            response.set(send(entry, prompt));
            return response.get().isComplete();
        });
        return response.get();
    }

    /** Returns the runner of the latest attempt of a request to the first entry, from that entry's explanation. */
    private String servingRunner(String requestId) throws Exception {
        URI explainUri = URI.create("http://" + deployment.entry(0).address("operator") + "/explain/" + requestId);
        String json = CLIENT.send(HttpRequest.newBuilder(explainUri).build(), HttpResponse.BodyHandlers.ofString())
                .body();
        JsonNode attempts = new ObjectMapper().readTree(json).path("attempts");
        return attempts.path(attempts.size() - 1).path("choice").asText();
    }

    private ModelResponse send(int entry, List<String> prompt) {
        return caller(entry, "amahoro").stream("draft", prompt, MAX_TOKENS).join();
    }

    private Caller caller(int entry, String customer) {
        return Caller.of(deployment.entry(entry).address("caller"), "example-key-" + customer);
    }

    /** Returns a prompt of several blocks, none of which is a block of a prompt with another name. */
    private static List<String> prompt(String name) {
        return List.of((name + " roll ").repeat(2000), "Who joined in March?");
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime())
                    .as("time at which the condition is still false")
                    .isLessThan(deadlineNanos);
        }
    }
}

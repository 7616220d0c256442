package org.geraniumford.daemon.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.geraniumford.core.configuration.Configuration;
import org.geraniumford.core.configuration.ConfigurationHolder;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.configuration.Model;
import org.geraniumford.core.configuration.PlainService;
import org.geraniumford.core.configuration.PriorityClass;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostKind;
import org.geraniumford.core.membership.HostState;
import org.geraniumford.core.request.RequestLimits;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.daemon.limits.RequestLimiter;
import org.geraniumford.daemon.settings.EntrySettings;
import org.geraniumford.transport.metrics.ReasonCounters;

/** A running entry with sidecars whose responses are set by a test. */
final class EntryFixture implements AutoCloseable {
    static final String API_KEY = "secret-1";
    static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<FakeSidecar> sidecars = new ArrayList<>();
    private final List<Host> hosts = new CopyOnWriteArrayList<>();
    private final ConfigurationHolder configurations = ConfigurationHolder.empty();
    private final RecordingLimiter limiter = new RecordingLimiter();
    private final HttpClient client = HttpClient.newHttpClient();
    private final EntryDaemon entry;

    private EntryFixture(RequestLimits limits) {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        EntrySettings settings = new EntrySettings(
                "entry-1", "kigali-a", anyPort, anyPort, anyPort, URI.create("http://127.0.0.1:1"), List.of(), 64);
        entry = EntryDaemon.start(
                        settings,
                        configurations,
                        (configurationHolder, network, incarnation, closer) -> new EntryDependencies(
                                () -> hosts, (link, envelope) -> false, IdempotentServiceCaller::new, limits, limiter))
                .join();
    }

    /**
     * Admits every request or refuses every request. Counts the admitted requests that are not released yet, and sums
     * the estimated tokens of all admitted requests, corrected at their release.
     */
    static final class RecordingLimiter implements RequestLimiter {
        private final AtomicInteger openRequests = new AtomicInteger();
        private final AtomicLong tokens = new AtomicLong();
        private volatile Optional<Refusal> presetRefusal = Optional.empty();

        void refuseWith(Refusal refusal) {
            presetRefusal = Optional.of(refusal);
        }

        int openRequests() {
            return openRequests.get();
        }

        long tokens() {
            return tokens.get();
        }

        @Override
        public Optional<Refusal> admit(Customer customer, long estimatedTokens) {
            if (presetRefusal.isEmpty()) {
                openRequests.incrementAndGet();
                tokens.addAndGet(estimatedTokens);
            }
            return presetRefusal;
        }

        @Override
        public void release(Customer customer, long extraTokens) {
            tokens.addAndGet(extraTokens);
            openRequests.decrementAndGet();
        }
    }

    RecordingLimiter limiter() {
        return limiter;
    }

    // -- construction

    static EntryFixture unconfigured() {
        return new EntryFixture(RequestLimits.ofDefaults());
    }

    static EntryFixture start() {
        return start(RequestLimits.ofDefaults());
    }

    static EntryFixture start(RequestLimits limits) {
        EntryFixture fixture = new EntryFixture(limits);
        fixture.configurations.updateIfNewer(configuration());
        return fixture;
    }

    /** Returns a request of the configured customer without an HTTP exchange. */
    static AuthenticatedRequest modelRequest() {
        Configuration configuration = configuration();
        return new AuthenticatedRequest(
                "r", null, CompletionFormat.TEXT, configuration.customers().get("club"), configuration, 0);
    }

    private static Configuration configuration() {
        Customer club =
                new Customer("club", "Club", Set.of(digest(API_KEY)), 1, Set.of("drafts"), Set.of("ballots"), 0, 0, 0);
        PlainService ballots = new PlainService("ballots", Set.of("GET"), Duration.ofSeconds(5));
        PlainService sends = new PlainService("sends", Set.of("GET"), Duration.ofSeconds(5));
        return Configuration.of(
                1,
                "",
                "",
                Map.of("club", club),
                Map.of("drafts", model("drafts"), "other", model("other")),
                Map.of("batch", new PriorityClass("batch", 1, Duration.ofSeconds(60))),
                Map.of("ballots", ballots, "sends", sends));
    }

    private static Model model(String name) {
        return new Model(name, FakeSidecar.VERSION, FakeSidecar.WEIGHTS, "", 0, 10_000);
    }

    private static String digest(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }

    // -- sidecars

    FakeSidecar startEngine(String name) {
        return add(FakeSidecar.engine(group, name), name, HostKind.RUNNER);
    }

    FakeSidecar startService(String name, String service) {
        return add(FakeSidecar.service(group, name, service), name, HostKind.SERVICE);
    }

    private FakeSidecar add(FakeSidecar sidecar, String name, HostKind kind) {
        sidecars.add(sidecar);
        String address = "127.0.0.1:" + sidecar.address().getPort();
        hosts.add(new Host(name, kind, address, "kigali-a", HostState.LIVE));
        await(() -> entry.connectedHosts().contains(name));
        return sidecar;
    }

    // -- requests

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + path))
                .version(HttpClient.Version.HTTP_1_1)
                .header("Authorization", "Bearer " + API_KEY);
    }

    /**
     * Returns a chat request with further JSON fields, each preceded by a comma, for example {@code ,"max_tokens":3}.
     */
    HttpRequest chatRequest(String extraFields) {
        return request("/v1/chat/completions")
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"model\":\"drafts\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]" + extraFields
                                + "}"))
                .build();
    }

    HttpResponse<String> send(HttpRequest request) {
        return sendAsync(request)
                .orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .join();
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    int port() {
        return entry.callerAddress().getPort();
    }

    // -- the entry

    EntryDaemon entry() {
        return entry;
    }

    /** Returns how many refusals the entry's metrics count for a reason. */
    double refusals(String reason) {
        return entry.registry()
                .counter(ReasonCounters.REFUSALS, "reason", reason)
                .count();
    }

    /** Waits until a condition is true; fails after {@link #TIMEOUT}. */
    static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new AssertionError("the condition did not become true before the timeout");
            }
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        entry.close();
        sidecars.forEach(FakeSidecar::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}

package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.geraniumford.core.fleet.Reachability;
import org.geraniumford.core.fleet.ServerChooser;
import org.geraniumford.core.retry.SharedRetryBudget;
import org.geraniumford.core.service.ApiCustomer;
import org.geraniumford.core.service.Route;
import org.geraniumford.core.service.RouteKind;
import org.geraniumford.core.service.RoutingTable;
import org.geraniumford.core.stream.StreamOrigin;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.transport.forward.CallerExchange;
import org.geraniumford.transport.forward.CallerHandler;
import org.geraniumford.transport.forward.ConnectionPool;
import org.geraniumford.transport.forward.ResponseMemory;
import org.geraniumford.transport.log.LogEvent;
import org.geraniumford.transport.worker.Guarded;

/** Admits callers' requests, finds their routes and customers, and forwards them. Runs on one network thread. */
public final class Gateway implements CallerHandler {
    /**
     * The longest gap between two ticks that does not count as a pause of this process. After a longer gap, the silence
     * of servers is not evaluated until another {@link Reachability#SILENCE_TIMEOUT} has passed, because this process
     * could not read during the pause.
     */
    private static final Duration MAX_TICK_GAP = Duration.ofMillis(400);

    /** A hash without its last bits is a whole number of these units between 0 and 1. */
    private static final double DRAW_UNIT = 0x1p-53;

    private static final int UNUSED_HASH_BITS = 11;

    private static final long NANOS_PER_MILLI = 1_000_000;
    /** When a request may come again that only a newer configuration could allow: once that had time to arrive. */
    private static final Duration OUTDATED_RETRY_AFTER = Duration.ofMillis(300);

    private static final Duration DEFAULT_CALLER_TIMEOUT = Duration.ofSeconds(60);

    private final EventLoop loop;
    private final GatewayState state;
    private final GatewayProtocol protocol;
    private final GatewayLimits limits;
    private final GatewayMetrics metrics;
    private final SpeedReport speeds;
    private final PromptQuarantine quarantine;
    private final ConnectionPool pool;
    private final ResponseMemory responseMemory;
    private final RandomGenerator random;
    private final ServerChooser chooser;
    private final PrefixTransfers prefixTransfers;
    private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
    private final Set<ForwardedRequest> activeRequests = new HashSet<>();
    private final OverloadControl overload = new OverloadControl(this);
    private boolean refusing;
    private long lastTickNanos = System.nanoTime();
    private long silenceValidFromNanos = lastTickNanos;

    private Gateway(
            EventLoop loop,
            GatewayState state,
            GatewayProtocol protocol,
            GatewayLimits limits,
            GatewayMetrics metrics,
            PromptQuarantine quarantine,
            ResponseMemory responseMemory,
            RandomGenerator random) {
        this.quarantine = quarantine;
        this.responseMemory = responseMemory;
        this.loop = loop;
        this.state = state;
        this.protocol = protocol;
        this.limits = limits;
        this.metrics = metrics;
        this.speeds = SpeedReport.of(state, metrics);
        this.random = random;
        this.pool = ConnectionPool.of(loop);
        this.chooser = ServerChooser.of(random);
        this.prefixTransfers = PrefixTransfers.of(state, random);
    }

    // -- construction

    /**
     * Creates a gateway.
     *
     * @param loop the network thread on which the gateway runs
     * @param state the estimated state of the deployment
     * @param protocol the header fields of the deployment
     * @param limits the limits that the deployment sets
     * @param metrics the counters and histograms to update
     * @param quarantine the prompt segments under which engines ended
     * @param responseMemory the memory for responses that are held until they are complete
     * @param random the source of randomness for picking one of a route's services and breaking ties
     * @return a gateway that serves requests once the state is ready
     */
    public static Gateway of(
            EventLoop loop,
            GatewayState state,
            GatewayProtocol protocol,
            GatewayLimits limits,
            GatewayMetrics metrics,
            PromptQuarantine quarantine,
            ResponseMemory responseMemory,
            RandomGenerator random) {
        return new Gateway(
                requireNonNull(loop, "loop is null"),
                requireNonNull(state, "state is null"),
                requireNonNull(protocol, "protocol is null"),
                requireNonNull(limits, "limits is null"),
                requireNonNull(metrics, "metrics is null"),
                requireNonNull(quarantine, "quarantine is null"),
                requireNonNull(responseMemory, "responseMemory is null"),
                requireNonNull(random, "random is null"));
    }

    // -- commands

    @Override
    public void handle(CallerExchange exchange) {
        metrics.countRequest();
        if (refusing) {
            refuse(exchange, "", Refusal.notRun(Reason.SHUTTING_DOWN, "this entry ends"));
            return;
        }
        DecodeResult decoded = protocol.decode(exchange.request());
        if (decoded instanceof DecodeResult.Valid valid) {
            admit(exchange, valid.request());
        } else if (decoded instanceof DecodeResult.Malformed malformed) {
            refuse(exchange, "", Refusal.notRun(Reason.MALFORMED_REQUEST, malformed.problem()));
        }
    }

    @Override
    public void callerLeft(CallerExchange exchange) {
        metrics.countRequest();
        metrics.countCallerDisconnect();
        LogEvent.of("caller_left")
                .with("request", protocol.requestId(exchange.request()))
                .with("waited_ms", (System.nanoTime() - exchange.headReadNanos()) / NANOS_PER_MILLI)
                .info();
    }

    /**
     * Refuses every further request. Called shortly before the process ends, so that callers can retry at another entry
     * at once.
     */
    public void refuseNewRequests() {
        refusing = true;
    }

    /**
     * Ends the requests in progress, shortly before the process ends: each gets a final response, or its stream is cut
     * off.
     */
    public void endRequests() {
        List.copyOf(activeRequests).forEach(request -> Guarded.run("request", request::endAtShutdown));
    }

    private void admit(CallerExchange exchange, InboundRequest request) {
        Optional<RoutingTable> routingTable = state.configuration().routingTable();
        if (routingTable.isEmpty()) {
            refuse(exchange, request.id(), Refusal.notRun(Reason.NO_CONFIGURATION, "no configuration yet"));
            return;
        }
        Optional<Route> route = routingTable.get().route(request.host(), request.path());
        if (route.isEmpty()) {
            refuseByConfiguration(exchange, request, Reason.UNKNOWN_PATH, "no route");
            return;
        }
        Optional<ApiCustomer> customer = request.apiKey().flatMap(routingTable.get()::customer);
        if (customer.isEmpty()
                && routingTable.get().requiresApiKey()
                && !route.get().anonymous()) {
            refuseByConfiguration(exchange, request, Reason.UNAUTHENTICATED, "unknown key");
            return;
        }
        AdmittedRequest admitted = new AdmittedRequest(
                request,
                route.get(),
                route.get().pickService(draw(request, route.get())),
                customer,
                timeLimit(request, route.get()),
                routingTable.get().version());
        Optional<Refusal> refusal = state.customerLimits().refuse(admitted);
        if (refusal.isPresent()) {
            // Logged with its number by the customer's limit, because a customer may send any number of them.
            metrics.countRefusal(refusal.get().reason());
            respondRefusal(exchange, request.id(), refusal.get());
            return;
        }
        retryBudget(admitted.service()).recordRequest(System.nanoTime());
        ForwardedRequest forwarded = new ForwardedRequest(this, exchange, admitted);
        activeRequests.add(forwarded);
        forwarded.start();
    }

    /**
     * Returns the number that selects one of a route's services: for a stream one that follows from its first request,
     * so that a caller that takes it up again reaches the same service.
     */
    private double draw(InboundRequest request, Route route) {
        if (route.kind() != RouteKind.STREAMING) {
            return random.nextDouble();
        }
        String firstRequestId =
                request.position().flatMap(StreamPosition::firstRequestId).orElse(request.id());
        return (StreamOrigin.key(firstRequestId) >>> UNUSED_HASH_BITS) * DRAW_UNIT;
    }

    private static Duration timeLimit(InboundRequest request, Route route) {
        Duration callerTimeout = request.timeout().orElse(DEFAULT_CALLER_TIMEOUT);
        return callerTimeout.compareTo(route.timeout()) < 0 ? callerTimeout : route.timeout();
    }

    /** Refuses a request for good only if the configuration that does not allow it is known to be the newest one. */
    private void refuseByConfiguration(
            CallerExchange exchange, InboundRequest request, Reason reason, String explanation) {
        boolean certain = state.configuration().allowsRefusal();
        refuse(
                exchange,
                request.id(),
                certain
                        ? Refusal.notRun(reason, explanation)
                        : Refusal.notRun(Reason.CONFIGURATION_OUTDATED, explanation)
                                .withRetryAfter(OUTDATED_RETRY_AFTER));
    }

    private void refuse(CallerExchange exchange, String requestId, Refusal refusal) {
        LogEvent.of("refused")
                .with("request", requestId)
                .with("reason", refusal.reason().label())
                .with("configuration", state.configuration().version())
                .with("confirmed", state.configuration().describeAge())
                .info();
        metrics.countRefusal(refusal.reason());
        respondRefusal(exchange, requestId, refusal);
    }

    private void respondRefusal(CallerExchange exchange, String requestId, Refusal refusal) {
        exchange.respond(protocol.encodeRefusal(refusal, requestId));
        exchange.release();
    }

    /**
     * Closes expired idle connections, withdraws requests that may no longer begin on their engine's weights, abandons
     * attempts at silent servers, removes servers that did not register again after an outage, and updates speeds. Must
     * be called at least every 400 ms, because a longer gap counts as a pause of the process.
     */
    public void tick() {
        pool.closeExpired();
        long nowNanos = System.nanoTime();
        if (nowNanos - lastTickNanos > MAX_TICK_GAP.toNanos()) {
            silenceValidFromNanos = nowNanos + Reachability.SILENCE_TIMEOUT.toNanos();
        }
        lastTickNanos = nowNanos;
        boolean silenceValid = nowNanos - silenceValidFromNanos >= 0;
        List.copyOf(activeRequests)
                .forEach(request -> Guarded.run("request", () -> checkAttempt(request, silenceValid, nowNanos)));
        state.directory().expire(System.nanoTime());
        speeds.refreshIfDue(nowNanos);
    }

    private static void checkAttempt(ForwardedRequest request, boolean silenceValid, long nowNanos) {
        request.withdrawIfOutdated();
        if (silenceValid) {
            request.abandonIfSilent(nowNanos);
        }
    }

    // -- queries

    /**
     * Returns how many requests are being served.
     *
     * @return the number of requests whose response is not complete
     */
    public int activeRequests() {
        return activeRequests.size();
    }

    // -- operations for forwarded requests

    /** Returns whether the service's retry budget has a retry available, without consuming it. */
    boolean canRetry(String service) {
        return retryBudget(service).isAvailable(System.nanoTime(), state.entryCount());
    }

    /** Consumes one retry of the service's retry budget, and returns whether one was available. */
    boolean tryAcquireRetry(String service) {
        return retryBudget(service).tryAcquire(System.nanoTime(), state.entryCount());
    }

    private SharedRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service, name -> SharedRetryBudget.of(limits.retryRatio(), limits.retryWindow(), limits.retrySlack()));
    }

    int oldestAllowedWeights(String model) {
        return state.oldestAllowedWeights(model, limits.usableWeightsStaleness());
    }

    int oldestWeightsToBeginOn(String model) {
        return state.oldestAllowedWeights(model, limits.beginWeightsStaleness());
    }

    Duration weightsTimeLeft(String model, int version) {
        return state.weightsTimeLeft(model, version, limits.maxWeightsStaleness());
    }

    Duration maxWeightsStaleness() {
        return limits.maxWeightsStaleness();
    }

    void removeRequest(ForwardedRequest request) {
        activeRequests.remove(request);
    }

    EventLoop loop() {
        return loop;
    }

    GatewayState state() {
        return state;
    }

    GatewayProtocol protocol() {
        return protocol;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    PromptQuarantine quarantine() {
        return quarantine;
    }

    ConnectionPool pool() {
        return pool;
    }

    ResponseMemory responseMemory() {
        return responseMemory;
    }

    OverloadControl overload() {
        return overload;
    }

    List<AdmittedRequest> requestsInProgress() {
        return activeRequests.stream().map(ForwardedRequest::admitted).toList();
    }

    ServerChooser chooser() {
        return chooser;
    }

    PrefixTransfers prefixTransfers() {
        return prefixTransfers;
    }

    FullHttpRequest encode(CallerExchange exchange, Dispatch dispatch) {
        return protocol.encode(exchange.request(), dispatch);
    }
}

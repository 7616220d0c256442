package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.geraniumford.core.service.EngineSpec;

/** What an entry believes of one incarnation of a backend server. Not thread-safe. */
public final class ServerState {
    /** How many tokens an engine fetches in the time in which it reads one, while others fetch too. */
    private static final long FETCHED_TOKENS_PER_PREFILLED_TOKEN = 2;

    private static final double FAILURE_RATE_SMOOTHING = 0.15;

    private BackendServer server;
    private final CacheEstimate cache = CacheEstimate.empty(0);
    private long kvCapacityTokens;
    private ServerLoad localLoad;
    private final Map<String, ServerLoad> peerLoads = new HashMap<>();
    private final Reachability reachability = Reachability.unknown();
    private double failureRate;
    private long loadingUntilNanos;
    private boolean isLoading;
    private final Map<String, Integer> invalidatedWeightsVersions = new HashMap<>();
    private final Map<String, Integer> observedWeightsVersions = new HashMap<>();

    private ServerState(BackendServer server) {
        this.server = server;
        this.localLoad = ServerLoad.idle(server.id());
        observedWeightsVersions.putAll(server.weightsVersions());
    }

    // -- construction

    /**
     * Creates the state of a server that nothing was sent to.
     *
     * @param server the server
     * @param engine the size of its engine; empty for a plain service
     * @return a new state
     */
    public static ServerState of(BackendServer server, Optional<EngineSpec> engine) {
        requireNonNull(server, "server is null");
        ServerState state = new ServerState(server);
        state.applyEngineSpec(engine);
        return state;
    }

    // -- queries

    /**
     * Returns the server as it lists itself.
     *
     * @return the newest listing
     */
    public BackendServer server() {
        return server;
    }

    /**
     * Returns what the engine probably has cached.
     *
     * @return the belief, which changes
     */
    public CacheEstimate cache() {
        return cache;
    }

    /**
     * Returns how much work the engine has before the first token of a prompt.
     *
     * @param scoped the prompt within the scope in which its parts are shared
     * @param fetchable true if the engine can fetch the shared parts that it lacks
     * @return tokens to read; those that are fetched count as a part
     */
    public long estimatedPrefillTokens(ScopedPrompt scoped, boolean fetchable) {
        long input = scoped.prompt().inputTokens();
        long missing = Math.max(0, input - cache.cachedTokens(scoped.segments()));
        long own = Math.min(missing, Math.max(0, input - scoped.sharedTokens()));
        return fetchable ? own + (missing - own) / FETCHED_TOKENS_PER_PREFILLED_TOKEN : missing;
    }

    /**
     * Returns the engine's memory for running requests and cached parts.
     *
     * @return a count of tokens; 0 for a plain service
     */
    public long kvCapacityTokens() {
        return kvCapacityTokens;
    }

    /**
     * Returns what this entry has in progress there.
     *
     * @return the own load
     */
    public ServerLoad localLoad() {
        return localLoad;
    }

    /**
     * Returns what all entries have in progress there, as far as this one was told.
     *
     * @return the sum of the own load and those that peers told of
     */
    public ServerLoad totalLoad() {
        return peerLoads.values().stream().reduce(localLoad, ServerLoad::plus);
    }

    /**
     * Returns the recent share of requests that failed there.
     *
     * @return from 0 to 1, newer requests weigh more
     */
    public double failureRate() {
        return failureRate;
    }

    /**
     * Says whether the server serves a model.
     *
     * @param model the model
     * @return true if it lists the model, whatever the version of its weights
     */
    public boolean hasModel(String model) {
        return server.weightsVersions().containsKey(model);
    }

    /**
     * Returns the version of a model's weights that the server holds. Within one incarnation it only grows, so the
     * larger of what it lists and what its answers told is taken.
     *
     * @param model the model
     * @return the version, or empty if it is not known
     */
    public OptionalInt weightsVersion(String model) {
        int listed = server.weightsVersions().getOrDefault(model, 0);
        int version = Math.max(listed, observedWeightsVersions.getOrDefault(model, 0));
        return version <= invalidatedWeightsVersions.getOrDefault(model, 0)
                ? OptionalInt.empty()
                : OptionalInt.of(version);
    }

    /**
     * Returns whether this entry can reach the server.
     *
     * @return the belief, which changes
     */
    public Reachability reachability() {
        return reachability;
    }

    /**
     * Says whether the server is believed to load weights, during which it runs nothing.
     *
     * @param nowNanos the time
     * @return true from the order until the weights are in place or the order is too old
     */
    public boolean isLoading(long nowNanos) {
        return isLoading && nowNanos - loadingUntilNanos < 0;
    }

    // -- commands

    /**
     * Notes that the server was ordered to load weights.
     *
     * @param untilNanos when the belief ends if nothing else is heard
     */
    public void markLoading(long untilNanos) {
        isLoading = true;
        loadingUntilNanos = untilNanos;
    }

    /** Notes that an order to load weights failed. */
    public void markLoadFailed() {
        isLoading = false;
    }

    /**
     * Takes the size of the engine, which a configuration may tell of after the server was listed.
     *
     * @param engine the size; empty for a plain service
     */
    public void applyEngineSpec(Optional<EngineSpec> engine) {
        kvCapacityTokens = engine.map(EngineSpec::kvCapacityTokens).orElse(0L);
        cache.resize(kvCapacityTokens);
    }

    /**
     * Takes a newer listing of the same incarnation.
     *
     * @param newer the listing
     */
    public void updateServer(BackendServer newer) {
        newer.weightsVersions().forEach(this::recordWeightsVersion);
        server = newer;
    }

    /**
     * Takes what an answer told of the server's weights. An engine that loads others drops what it has cached.
     *
     * @param model the model
     * @param version the version that the server holds at least
     */
    public void recordWeightsVersion(String model, int version) {
        if (version > observedWeightsVersions.getOrDefault(model, 0)) {
            observedWeightsVersions.put(model, version);
            isLoading = false;
            cache.clear();
        }
        if (version > invalidatedWeightsVersions.getOrDefault(model, 0)) {
            invalidatedWeightsVersions.remove(model);
        }
    }

    /**
     * Takes notice that the server holds other weights than believed; they are unknown until it tells of them.
     *
     * @param model the model
     * @param believed the version that it does not hold
     */
    public void invalidateWeightsVersion(String model, int believed) {
        invalidatedWeightsVersions.merge(model, believed, Math::max);
        cache.clear();
    }

    /**
     * Notes that a request was sent.
     *
     * @param tokens the memory that it needs; 0 for a plain call
     * @param unread the prompt tokens that the server has to read
     */
    public void recordSent(long tokens, long unread) {
        localLoad = localLoad.plus(new ServerLoad(server.id(), 1, tokens, unread));
    }

    /**
     * Notes that a request's prompt was read or that the request ended before.
     *
     * @param unread the tokens noted as unread when it was sent
     */
    public void recordPrefilled(long unread) {
        localLoad = localLoad.plus(new ServerLoad(server.id(), 0, 0, -unread));
    }

    /**
     * Notes that a request has ended.
     *
     * @param tokens the memory that it needed
     */
    public void recordEnded(long tokens) {
        localLoad = localLoad.plus(new ServerLoad(server.id(), -1, -tokens, 0));
    }

    /**
     * Takes what a peer has in progress there.
     *
     * @param peer the peer's name
     * @param load its load
     */
    public void updatePeerLoad(String peer, ServerLoad load) {
        peerLoads.put(peer, load);
    }

    /**
     * Forgets what a peer told.
     *
     * @param peer the peer's name
     */
    public void removePeerLoad(String peer) {
        peerLoads.remove(peer);
    }

    /** Notes an answer. */
    public void recordSuccess() {
        reachability.recordResponse();
        failureRate -= failureRate * FAILURE_RATE_SMOOTHING;
    }

    /** Notes an answer that was an error or broken, from a server that can be reached. */
    public void recordFailure() {
        failureRate += (1 - failureRate) * FAILURE_RATE_SMOOTHING;
    }
}

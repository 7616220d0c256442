package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ThreadLocalRandom;
import org.geraniumford.core.limits.ServerLimit;
import org.geraniumford.core.service.EngineSpec;

/** The state of one incarnation of a backend server, as estimated by an entry. Not thread-safe. */
public final class ServerState {
    /** The number of tokens that an engine fetches in the time of prefilling one, if other engines fetch as well. */
    private static final long FETCHED_TOKENS_PER_PREFILLED_TOKEN = 2;

    /** The weight of the newest outcome in the moving average of the failure rate, from 0 to 1. */
    private static final double FAILURE_RATE_SMOOTHING = 0.15;

    private BackendServer server;
    private final CacheEstimate cache = CacheEstimate.empty(0);
    private long kvCapacityTokens;
    private ServerLoad localLoad;
    private final PeerLoads peerLoads;
    private final Reachability reachability = Reachability.unknown();
    private final ServerLimit limit = ServerLimit.none(ThreadLocalRandom.current());
    private final SpeedEstimate speedEstimate = SpeedEstimate.empty();
    private ServerSpeed speed = ServerSpeed.UNKNOWN;
    private ServerPause pause = ServerPause.none(ThreadLocalRandom.current());
    private final RejectionMark rejection = RejectionMark.none();
    private double failureRate;
    private long loadingUntilNanos;
    private boolean loading;
    private final Map<String, Integer> invalidatedWeightsVersions = new HashMap<>();
    private final Map<String, Integer> observedWeightsVersions = new HashMap<>();

    private ServerState(BackendServer server, PeerLoads peerLoads) {
        this.server = server;
        this.peerLoads = peerLoads;
        this.localLoad = ServerLoad.idle(server.id());
        observedWeightsVersions.putAll(server.weightsVersions());
    }

    // -- construction

    /**
     * Creates the state of a server to which nothing was sent yet.
     *
     * @param server the server's listing
     * @param engineSpec the spec of the server's engine; empty for a plain service
     * @return a new state
     */
    public static ServerState of(BackendServer server, Optional<EngineSpec> engineSpec) {
        requireNonNull(server, "server is null");
        return of(server, engineSpec, PeerLoads.empty(server.id()));
    }

    /** Creates the state of a server at which peers may have requests in progress. */
    static ServerState of(BackendServer server, Optional<EngineSpec> engineSpec, PeerLoads peerLoads) {
        ServerState state = new ServerState(server, peerLoads);
        state.applyEngineSpec(engineSpec);
        return state;
    }

    // -- queries

    /**
     * Returns the server's newest listing.
     *
     * @return the listing
     */
    public BackendServer server() {
        return server;
    }

    /**
     * Returns the estimate of the engine's cache.
     *
     * @return the estimate, which is mutable
     */
    public CacheEstimate cache() {
        return cache;
    }

    /**
     * Estimates the engine's work before the first output token of a prompt.
     *
     * @param scoped the prompt within the scope in which its segments are shared
     * @param fetchable whether the engine can fetch uncached shared segments from the cache store
     * @return the number of tokens to prefill; a fetched token counts as half a prefilled one
     */
    public long estimatedPrefillTokens(ScopedPrompt scoped, boolean fetchable) {
        long inputTokens = scoped.prompt().inputTokens();
        long uncachedTokens = Math.max(0, inputTokens - cache.cachedTokens(scoped.segments()));
        long unsharedTokens = Math.min(uncachedTokens, Math.max(0, inputTokens - scoped.sharedTokens()));
        return fetchable
                ? unsharedTokens + (uncachedTokens - unsharedTokens) / FETCHED_TOKENS_PER_PREFILLED_TOKEN
                : uncachedTokens;
    }

    /**
     * Returns the engine's memory for running requests and cached segments.
     *
     * @return the number of tokens; 0 for a plain service or an engine whose spec is not known yet
     */
    public long kvCapacityTokens() {
        return kvCapacityTokens;
    }

    /**
     * Returns the entry's own load at the server.
     *
     * @return the load of this entry's requests
     */
    public ServerLoad localLoad() {
        return localLoad;
    }

    /**
     * Returns the known load of all entries at the server.
     *
     * @return the sum of the entry's own load and the loads that its peers announced
     */
    public ServerLoad totalLoad() {
        return peerLoads.totalWith(localLoad);
    }

    /**
     * Returns how fast the server works.
     *
     * @return the speed as {@link ServerSpeeds#refresh} last estimated it
     */
    public ServerSpeed speed() {
        return speed;
    }

    /**
     * Returns the measurements from which the server's speed is derived.
     *
     * @return the estimate, which is mutable
     */
    public SpeedEstimate speedEstimate() {
        return speedEstimate;
    }

    /**
     * Estimates how long a new request waits until the server has prefilled the prompts before it.
     *
     * @param priority the priority of the new request; more urgent prompts and those of the same priority are before it
     * @return the time to prefill the pending tokens of all entries; zero if there are none
     */
    public Duration prefillWait(int priority) {
        return speed().prefillTime(totalLoad().pendingPrefillTokens(priority));
    }

    /**
     * Returns the fraction of recent attempts at the server that failed; rejections and cancelled attempts are not
     * counted.
     *
     * @return a moving average from 0 to 1, in which newer attempts weigh more
     */
    public double failureRate() {
        return failureRate;
    }

    /**
     * Returns whether the server serves a model.
     *
     * @param model the model's name
     * @return true if the server lists the model, with any version of its weights
     */
    public boolean hasModel(String model) {
        return server.weightsVersions().containsKey(model);
    }

    /**
     * Returns the version of a model's weights that the server has loaded. The version only grows within one
     * incarnation, so the larger of the listed version and the version observed in responses is returned.
     *
     * @param model the model's name
     * @return the version; empty if none is known, or if the newest known version was invalidated
     */
    public OptionalInt weightsVersion(String model) {
        int listed = server.weightsVersions().getOrDefault(model, 0);
        int version = Math.max(listed, observedWeightsVersions.getOrDefault(model, 0));
        return version <= invalidatedWeightsVersions.getOrDefault(model, 0)
                ? OptionalInt.empty()
                : OptionalInt.of(version);
    }

    /**
     * Returns the record from which this entry derives whether the server is suspended or silent.
     *
     * @return the record, which is mutable
     */
    public Reachability reachability() {
        return reachability;
    }

    /**
     * Returns the limit that the server names, and what is left of it.
     *
     * @return the limit, which is mutable
     */
    public ServerLimit limit() {
        return limit;
    }

    /**
     * Returns the pause that the server asked for.
     *
     * @return the pause, which is mutable
     */
    public ServerPause pause() {
        return pause;
    }

    /**
     * Returns the record of the server's rejections for lack of room.
     *
     * @return the record, which is mutable
     */
    public RejectionMark rejection() {
        return rejection;
    }

    /**
     * Returns whether the server is assumed to be loading weights, during which it runs no requests.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return true from the order until newer weights are observed, loading fails or the order expires
     */
    public boolean isLoading(long nowNanos) {
        return loading && nowNanos - loadingUntilNanos < 0;
    }

    // -- commands

    /** Sets the speed that is used from now on. */
    void updateSpeed(ServerSpeed newSpeed) {
        speed = requireNonNull(newSpeed, "newSpeed is null");
    }

    /** Takes over the pause that the same incarnation asked for before it was listed again. */
    void takePause(ServerState earlier) {
        pause = earlier.pause;
    }

    /**
     * Records that the server was ordered to load weights.
     *
     * @param untilNanos the time at which the order expires if no outcome is observed, from {@link System#nanoTime}
     */
    public void markLoading(long untilNanos) {
        loading = true;
        loadingUntilNanos = untilNanos;
    }

    /** Records that an order to load weights failed. */
    public void markLoadFailed() {
        loading = false;
    }

    /**
     * Applies the engine's spec. It may become known after the server's listing, because the two are read separately.
     *
     * @param engineSpec the spec; empty for a plain service
     */
    public void applyEngineSpec(Optional<EngineSpec> engineSpec) {
        kvCapacityTokens = engineSpec.map(EngineSpec::kvCapacityTokens).orElse(0L);
        cache.resize(kvCapacityTokens);
    }

    /**
     * Applies a newer listing of the same incarnation.
     *
     * @param newer the newer listing
     */
    public void updateServer(BackendServer newer) {
        newer.weightsVersions().forEach(this::recordWeightsVersion);
        server = newer;
    }

    /**
     * Records an observed version of the server's weights. If the version is newer than those observed before, the
     * server no longer counts as loading, and the cache estimate is cleared, because an engine that loads other weights
     * drops its cache.
     *
     * @param model the model's name
     * @param version the observed version; the server has loaded this version or a newer one
     */
    public void recordWeightsVersion(String model, int version) {
        if (version > observedWeightsVersions.getOrDefault(model, 0)) {
            observedWeightsVersions.put(model, version);
            loading = false;
            cache.clear();
        }
        if (version > invalidatedWeightsVersions.getOrDefault(model, 0)) {
            invalidatedWeightsVersions.remove(model);
        }
    }

    /**
     * Records that the server has not loaded the assumed version of the weights, and clears the cache estimate. The
     * server's version is unknown until a version newer than the assumed one is observed.
     *
     * @param model the model's name
     * @param assumedVersion the version that the server turned out not to have loaded
     */
    public void invalidateWeightsVersion(String model, int assumedVersion) {
        invalidatedWeightsVersions.merge(model, assumedVersion, Math::max);
        cache.clear();
    }

    /**
     * Records that this entry starts an attempt at the server, before the connection is opened.
     *
     * @param reservedTokens the KV memory that the request needs for its prompt and the maximum number of output
     *     tokens, in tokens; 0 without a prompt
     * @param prefillTokens the estimated number of prompt tokens that the server has to prefill
     * @param priority the priority of the request
     */
    public void recordAttemptStart(long reservedTokens, long prefillTokens, int priority) {
        localLoad = localLoad.plus(ServerLoad.of(server.id(), priority, 1, reservedTokens, prefillTokens));
    }

    /**
     * Records that the prefill of a request has ended, or that the request ended before its prefill did.
     *
     * @param prefillTokens the number of tokens that {@link #recordAttemptStart} recorded for the request
     * @param priority the priority of the request
     */
    public void recordPrefilled(long prefillTokens, int priority) {
        localLoad = localLoad.minus(ServerLoad.of(server.id(), priority, 0, 0, prefillTokens));
    }

    /**
     * Records that a request has ended.
     *
     * @param reservedTokens the memory that {@link #recordAttemptStart} recorded for the request, in tokens
     * @param priority the priority of the request
     */
    public void recordEnded(long reservedTokens, int priority) {
        localLoad = localLoad.minus(ServerLoad.of(server.id(), priority, 1, reservedTokens, 0));
    }

    /**
     * Replaces a peer's load at the server.
     *
     * @param peer the peer's name
     * @param load the peer's load
     */
    public void updatePeerLoad(String peer, ServerLoad load) {
        peerLoads.update(peer, load);
    }

    /** Records a successful response, which ends the server's suspension and lowers its failure rate. */
    public void recordSuccess() {
        reachability.recordSuccess();
        rejection.recordSuccess();
        failureRate -= failureRate * FAILURE_RATE_SMOOTHING;
    }

    /**
     * Records a failed attempt, which raises the failure rate: an error response, a response that was broken off,
     * unusable or missing for too long, or a failure to connect. The reachability is recorded separately.
     */
    public void recordFailure() {
        failureRate += (1 - failureRate) * FAILURE_RATE_SMOOTHING;
    }

    /**
     * Records that the engine rejected a request because it was full. Ignores the rejection of a request that exceeds
     * the engine's memory, because an idle engine rejects it as well.
     *
     * @param reservedTokens the memory that the request needs, in tokens
     * @param priority the priority of the request
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordFull(long reservedTokens, int priority, long nowNanos) {
        if (kvCapacityTokens == 0 || reservedTokens <= kvCapacityTokens) {
            rejection.recordRejection(priority, nowNanos);
        }
    }
}

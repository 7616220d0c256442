package org.geraniumford.daemon.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.geraniumford.core.fleet.CacheStores;
import org.geraniumford.core.fleet.ScopedPrompt;
import org.geraniumford.core.fleet.SegmentScope;
import org.geraniumford.core.fleet.SendDecision;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.core.fleet.ServerQuery;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.quarantine.QuarantineDecision;
import org.geraniumford.core.service.ApiCustomer;
import org.geraniumford.core.service.CacheStore;
import org.geraniumford.core.service.EngineSpec;
import org.geraniumford.core.service.RouteKind;
import org.geraniumford.core.service.SharingGroup;
import org.geraniumford.core.verdict.Reason;
import org.geraniumford.core.verdict.Refusal;

/** Chooses servers for one request and plans what is sent to them, using the gateway's estimates at that moment. */
final class DispatchPlanner {
    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private final SuspectRequest suspect;
    private final int requestBytes;
    private final Supplier<Duration> timeLeft;

    /** The customers that may share the segments of the prompt; empty before it was asked. */
    private Optional<SharingGroup> sharingGroup = Optional.empty();

    /** The version of the software of the server that began the stream; empty before its first event. */
    private Optional<String> softwareVersion = Optional.empty();

    /** The keys of the prompt's segments for that group of customers. */
    private final Map<Integer, ScopedPrompt> scopedPromptsByWeights = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param gateway the gateway whose state is used
     * @param admitted the request
     * @param message the message of the caller
     * @param timeLeft returns how much longer the caller waits
     */
    DispatchPlanner(Gateway gateway, AdmittedRequest admitted, FullHttpRequest message, Supplier<Duration> timeLeft) {
        this.timeLeft = timeLeft;
        this.gateway = gateway;
        this.admitted = admitted;
        this.suspect = SuspectRequest.of(admitted, message);
        this.requestBytes = message.content().readableBytes();
    }

    // -- choice of servers

    /**
     * Decides whether an attempt may begin, although servers may have ended under the request or under segments of its
     * prompt. For the first attempt and for each retry, this is the only place.
     */
    QuarantineDecision decide() {
        return gateway.quarantine().decide(suspect);
    }

    /** Returns the refusal of a request that must not begin and has not run. */
    Refusal refuseHeld(QuarantineDecision.Held held) {
        Refusal refusal = held.segment() == suspect.key()
                ? Refusal.notRun(Reason.REQUEST_QUARANTINED, "servers ended under the same request")
                : Refusal.notRun(Reason.SEGMENT_QUARANTINED, "engines ended under a segment of the prompt");
        return refusal.withRetryAfter(held.retryAfter());
    }

    /** Records that an attempt begins. */
    AttemptPrompt beginAttempt(boolean resumed) {
        return AttemptPrompt.begin(gateway.quarantine(), admitted.request().id(), suspect, resumed);
    }

    /**
     * Chooses the server for the next attempt; empty if no server outside the given ids can run the request.
     *
     * @param attemptedServers the ids of servers that are not chosen
     * @param suspected whether the server may end under the request, so that one with few other requests is better
     */
    Optional<ServerState> chooseServer(Set<String> attemptedServers, boolean suspected) {
        ServerQuery query = query(attemptedServers, suspected);
        return gateway.chooser().choose(gateway.state().directory(), query, System.nanoTime());
    }

    /** Lets the stream go on only at servers of the version that began it. */
    void goOnAt(String version) {
        softwareVersion = Optional.of(version);
    }

    /** Returns whether the service has a server with a version of its software that takes new work. */
    boolean hasServerOf(String version) {
        return gateway.state().directory().activeServers(admitted.service()).stream()
                .anyMatch(state -> state.server().softwareVersion().equals(version));
    }

    /** Decides whether the stream may go on at the server that holds the backup of its memory. */
    SendDecision decideResumptionAt(ServerState backup) {
        ServerQuery query = query(Set.of(), false).asResumptionAtBackup();
        return SendDecision.of(gateway.state().directory(), backup, query, System.nanoTime());
    }

    /** Records that the request is sent to a server, on whatever way. */
    void recordUse(ServerState server) {
        server.pause().recordSent(System.nanoTime());
        if (server.limit().isNamed()) {
            serverLimits().recordUse(server);
            serverLimits().turns(admitted.service()).recordUse(customerName(), System.nanoTime());
        }
    }

    /**
     * Returns the refusal of a request for which no server was found, if servers that could run it have reached their
     * limits. Counts the request as waiting.
     *
     * @param attemptedServers the ids of servers that are not chosen
     * @return the refusal, with the time at which there should be room; empty if limits are not the reason
     */
    Optional<Refusal> refuseByLimit(Set<String> attemptedServers) {
        long nowNanos = System.nanoTime();
        ServerQuery query = query(attemptedServers, false);
        ServerDirectory directory = gateway.state().directory();
        double entryRate = gateway.chooser().limitedRate(directory, query, nowNanos)
                / (directory.entryShare().heardPeers() + 1);
        return gateway.chooser()
                .timeUntilWithinLimit(directory, query, nowNanos)
                .map(untilRoom -> serverLimits()
                        .turns(admitted.service())
                        .recordRefused(customerName(), admitted.priority(), untilRoom, entryRate, nowNanos))
                .map(DispatchPlanner::limitReached);
    }

    /**
     * Returns the refusal of a request that only servers could run which asked for a pause; empty if that is not so.
     */
    Optional<Refusal> refuseByPause() {
        return gateway.chooser()
                .timeUntilPauseEnds(gateway.state().directory(), query(Set.of(), false), System.nanoTime())
                .map(untilEnd -> Refusal.notRun(Reason.SERVER_PAUSED, "every server asked for a pause")
                        .withRetryAfter(atLeastShortest(untilEnd)));
    }

    private static Duration atLeastShortest(Duration wait) {
        return wait.compareTo(Refusal.MIN_RETRY_AFTER) < 0 ? Refusal.MIN_RETRY_AFTER : wait.plusMillis(1);
    }

    private static Refusal limitReached(Duration wait) {
        Duration retryAfter = wait.compareTo(Refusal.MIN_RETRY_AFTER) < 0 ? Refusal.MIN_RETRY_AFTER : wait;
        return Refusal.notRun(Reason.SERVER_LIMIT_REACHED, "every server has reached the limit that it names")
                .withRetryAfter(retryAfter);
    }

    /** Returns whether the request leaves the next place at servers with limits to another customer. */
    private boolean isYielding() {
        return serverLimits()
                .turns(admitted.service())
                .mustYield(customerName(), admitted.priority(), System.nanoTime());
    }

    private String customerName() {
        return admitted.customer().map(ApiCustomer::name).orElse("");
    }

    private ServerLimits serverLimits() {
        return gateway.state().serverLimits();
    }

    /**
     * Returns the refusal of a request for which the servers have no room; empty if it may be sent.
     *
     * @param attemptedServers the ids of servers that are not chosen
     * @param rejected whether a server rejected the request for lack of room
     */
    Optional<Refusal> refuseByOverload(Set<String> attemptedServers, boolean rejected) {
        return gateway.overload().refuse(admitted, query(attemptedServers, false), rejected);
    }

    /** Returns when a request should come again for which there is no server, or that servers rejected. */
    Duration retryAfter() {
        return gateway.overload().retryAfter(admitted, query(Set.of(), false));
    }

    /**
     * Chooses the server for the backup of a stream that could not be resumed otherwise: the next best server, if it is
     * in the same failure domain and has the same weights and software. Empty if that server does not qualify, if no
     * backup is needed, or if the service supports none.
     */
    Optional<ServerState> chooseBackupServer(ServerState server, Set<String> attemptedServers) {
        boolean streaming = admitted.route().kind() == RouteKind.STREAMING;
        boolean backupUseful = streaming && !admitted.route().resumable() && supportsBackups();
        return admitted.request()
                .prompt()
                .filter(prompt -> backupUseful)
                .flatMap(prompt -> chooseServer(attemptedServers, false)
                        .filter(other -> !other.limit().isNamed())
                        .filter(other -> other.server()
                                .failureDomain()
                                .equals(server.server().failureDomain()))
                        .filter(other -> other.server()
                                .softwareVersion()
                                .equals(server.server().softwareVersion()))
                        .filter(other ->
                                other.weightsVersion(prompt.model()).equals(server.weightsVersion(prompt.model()))));
    }

    private boolean supportsBackups() {
        return gateway.state()
                .configuration()
                .engineSpec(admitted.service())
                .filter(EngineSpec::supportsKvBackup)
                .isPresent();
    }

    private ServerQuery query(Set<String> attemptedServers, boolean suspected) {
        followSharingGroup();
        Optional<PromptSpec> prompt = admitted.request().prompt();
        int newest =
                prompt.map(spec -> gateway.state().newestWeights(spec.model())).orElse(0);
        Optional<ScopedPrompt> scoped = prompt.map(spec -> scopedPrompt(spec, newest));
        return new ServerQuery(
                admitted.service(),
                gateway.state().failureDomain(),
                requestBytes,
                scoped,
                newest,
                prompt.map(spec -> gateway.oldestAllowedWeights(spec.model())).orElse(0),
                scoped.map(inScope -> cacheStores().firstUnsaved(inScope.sharedSegments()))
                        .orElse(OptionalLong.empty()),
                admitted.route().latencyObjective(),
                timeLeft.get(),
                scoped.filter(this::isFetchable).isPresent(),
                attemptedServers,
                admitted.priority(),
                suspected,
                isYielding(),
                softwareVersion);
    }

    private ScopedPrompt scopedPrompt(PromptSpec prompt, int weights) {
        return scopedPromptsByWeights.computeIfAbsent(
                weights, version -> ScopedPrompt.of(scope(String.valueOf(version)), prompt));
    }

    /**
     * Asks the configuration in force who may share the prompt's segments, and forgets their keys if that has changed.
     * Called once for each choice of a server and for each dispatch.
     */
    private void followSharingGroup() {
        Optional<SharingGroup> current =
                gateway.state().configuration().routingTable().map(admitted::sharingGroup);
        if (!current.equals(sharingGroup)) {
            sharingGroup = current;
            scopedPromptsByWeights.clear();
        }
    }

    private SegmentScope scope(String weights) {
        return new SegmentScope(sharingGroup.orElseThrow(), weights);
    }

    // -- estimates about a server

    /**
     * Returns the version of the weights that the server is assumed to have loaded for the prompt's model; empty if it
     * is not known or the request has no prompt.
     */
    OptionalInt weightsVersion(ServerState server) {
        return admitted.request()
                .prompt()
                .map(prompt -> server.weightsVersion(prompt.model()))
                .orElse(OptionalInt.empty());
    }

    /** Returns the estimated number of prompt tokens that the server must prefill; 0 if the request has no prompt. */
    long prefillTokens(ServerState server) {
        return admitted.request()
                .prompt()
                .map(prompt -> prefillTokens(server, prompt))
                .orElse(0L);
    }

    private long prefillTokens(ServerState server, PromptSpec prompt) {
        ScopedPrompt scoped =
                scopedPrompt(prompt, server.weightsVersion(prompt.model()).orElse(0));
        return server.estimatedPrefillTokens(scoped, isFetchable(scoped));
    }

    private boolean isFetchable(ScopedPrompt scoped) {
        return cacheStores().isFetchable(scoped.sharedSegments());
    }

    private CacheStores cacheStores() {
        return gateway.state().cacheStores();
    }

    // -- dispatch

    /**
     * Plans how the request is sent, and records that the engine will have the prompt's segments cached, if the version
     * of its weights is known.
     *
     * @param server the server
     * @param timeLeft how much longer the caller waits
     * @param lastEventId the id of the last event delivered, for a stream that is resumed; empty otherwise
     * @param backupServer the engine that keeps a backup of the request's KV memory; empty if none does
     * @param resumeFrom the address of the engine with the backup that the request resumes from, IP:PORT; empty
     *     otherwise
     * @return the dispatch
     */
    Dispatch planDispatch(
            ServerState server,
            Duration timeLeft,
            Optional<String> lastEventId,
            Optional<ServerState> backupServer,
            Optional<String> resumeFrom) {
        return new Dispatch(
                server.server(),
                timeLeft,
                admitted.customer().map(customer -> customer.name()),
                admitted.priority(),
                admitted.request().prompt().map(prompt -> planEngineDispatch(server, prompt, backupServer, resumeFrom)),
                lastEventId);
    }

    private EngineDispatch planEngineDispatch(
            ServerState server, PromptSpec prompt, Optional<ServerState> backupServer, Optional<String> resumeFrom) {
        followSharingGroup();
        OptionalInt weights = server.weightsVersion(prompt.model());
        if (weights.isEmpty()) {
            // The version is unknown: segments are neither fetched nor saved, and the cache scope is this engine alone.
            String engineName =
                    "only-" + server.server().id() + "-" + server.server().incarnation();
            return new EngineDispatch(
                    scope(engineName), weights, Optional.empty(), Optional.empty(), Optional.empty(), resumeFrom);
        }
        SegmentScope scope = scope(String.valueOf(weights.getAsInt()));
        ScopedPrompt scoped = scopedPrompt(prompt, weights.getAsInt());
        Optional<String> fetchFrom = gateway.prefixTransfers().source(server, scoped);
        server.cache().recordPrefilled(scoped.segments());
        Optional<String> backUpTo = backupServer.map(backup -> backup.server().address());
        boolean saveDue = cacheStores().isSaveDue(scoped.sharedSegments(), System.nanoTime());
        Optional<CacheStore> saveTo =
                cacheStores().storeOf(scoped.sharedSegments()).filter(store -> saveDue);
        saveTo.ifPresent(store -> gateway.prefixTransfers().recordSave(store, server, scoped));
        return new EngineDispatch(scope, weights, fetchFrom, saveTo.map(CacheStore::address), backUpTo, resumeFrom);
    }

    /** Records that the prompt's segments are now saved in a cache store, if the dispatch requested this. */
    void recordSavedSegments(Dispatch dispatch) {
        admitted.request()
                .prompt()
                .ifPresent(prompt -> dispatch.engine().ifPresent(engine -> recordSavedSegments(prompt, engine)));
    }

    private void recordSavedSegments(PromptSpec prompt, EngineDispatch engine) {
        engine.saveTo().ifPresent(address -> {
            ScopedPrompt scoped = ScopedPrompt.of(engine.scope(), prompt);
            cacheStores().recordSaved(address, scoped.sharedSegments(), System.nanoTime());
        });
    }
}

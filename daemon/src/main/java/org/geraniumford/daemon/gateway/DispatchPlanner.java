package org.geraniumford.daemon.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumford.core.fleet.ScopedPrompt;
import org.geraniumford.core.fleet.ServerQuery;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.prompt.PromptSpec;
import org.geraniumford.core.service.CacheStore;
import org.geraniumford.core.service.EngineSpec;
import org.geraniumford.core.service.RouteKind;
import org.geraniumford.core.service.ServiceDefinition;

/** Where one request goes and what the server is told beside it, from what the gateway believes at that moment. */
final class DispatchPlanner {
    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private final int requestBytes;
    private final Map<Integer, ScopedPrompt> scopedPromptsByWeights = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param gateway holds the beliefs
     * @param admitted the request
     * @param requestBytes the size of its body
     */
    DispatchPlanner(Gateway gateway, AdmittedRequest admitted, int requestBytes) {
        this.gateway = gateway;
        this.admitted = admitted;
        this.requestBytes = requestBytes;
    }

    // -- choice

    Optional<ServerState> chooseServer(Set<String> tried) {
        return gateway.chooser().choose(gateway.state().directory(), query(tried), System.nanoTime());
    }

    /** Another server with the same weights, for the copy of a stream that could not be resumed otherwise. */
    Optional<ServerState> chooseBackupServer(ServerState server, Set<String> tried) {
        boolean streaming = admitted.route().kind() == RouteKind.STREAMING;
        boolean useful = streaming && !admitted.route().resumable() && supportsBackups();
        return admitted.request()
                .prompt()
                .filter(prompt -> useful)
                .flatMap(prompt -> chooseServer(tried)
                        .filter(other -> other.server()
                                .failureDomain()
                                .equals(server.server().failureDomain()))
                        .filter(other ->
                                other.weightsVersion(prompt.model()).equals(server.weightsVersion(prompt.model()))));
    }

    private boolean supportsBackups() {
        return gateway.state()
                .routingTable()
                .flatMap(table -> table.service(admitted.service()))
                .flatMap(ServiceDefinition::engine)
                .filter(EngineSpec::supportsKvBackup)
                .isPresent();
    }

    private ServerQuery query(Set<String> tried) {
        Optional<PromptSpec> prompt = admitted.request().prompt();
        int newest = prompt.map(shape -> gateway.state().newestWeights(shape.model()))
                .orElse(0);
        Optional<ScopedPrompt> scoped = prompt.map(shape -> scopedPrompt(shape, newest));
        return new ServerQuery(
                admitted.service(),
                gateway.state().failureDomain(),
                requestBytes,
                scoped,
                newest,
                prompt.map(shape -> gateway.oldestAllowedWeights(shape.model())).orElse(0),
                scoped.filter(shape -> gateway.state().cacheStore().isPresent())
                        .map(shape -> gateway.state().knownSegments().firstUnsaved(shape.sharedSegments()))
                        .orElse(OptionalLong.empty()),
                scoped.filter(this::isFetchable).isPresent(),
                tried);
    }

    private ScopedPrompt scopedPrompt(PromptSpec prompt, int weights) {
        return scopedPromptsByWeights.computeIfAbsent(
                weights, version -> ScopedPrompt.of(admitted.cacheScope(String.valueOf(version)), prompt));
    }

    // -- what a server is believed to hold

    OptionalInt heldWeights(ServerState server) {
        return admitted.request()
                .prompt()
                .map(prompt -> server.weightsVersion(prompt.model()))
                .orElse(OptionalInt.empty());
    }

    /** The prompt tokens that the server has to read. */
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
        return gateway.state().cacheStore().isPresent()
                && gateway.state()
                        .knownSegments()
                        .firstUnsaved(scoped.sharedSegments())
                        .isEmpty();
    }

    // -- what a server is told

    /**
     * Plans how the request is sent, and notes that the server will hold its parts.
     *
     * @param server the server
     * @param timeLeft how long the caller waits
     * @param resumeAfter the last event delivered, for a stream that goes on
     * @param copyHolder the engine that keeps a copy of the request's memory
     * @param copyAt the engine that holds a copy to go on from, IP:PORT
     */
    Dispatch planDispatch(
            ServerState server,
            Duration timeLeft,
            Optional<String> resumeAfter,
            Optional<ServerState> copyHolder,
            Optional<String> copyAt) {
        return new Dispatch(
                server.server(),
                timeLeft,
                admitted.customer().map(customer -> customer.name()),
                admitted.priority(),
                admitted.request().prompt().map(prompt -> planEngineDispatch(server, prompt, copyHolder, copyAt)),
                resumeAfter);
    }

    private EngineDispatch planEngineDispatch(
            ServerState server, PromptSpec prompt, Optional<ServerState> copyHolder, Optional<String> copyAt) {
        OptionalInt weights = server.weightsVersion(prompt.model());
        if (weights.isEmpty()) {
            String own = "only-" + server.server().id() + "-" + server.server().incarnation();
            return new EngineDispatch(
                    admitted.cacheScope(own), weights, Optional.empty(), Optional.empty(), Optional.empty(), copyAt);
        }
        String scope = admitted.cacheScope(String.valueOf(weights.getAsInt()));
        ScopedPrompt scoped = scopedPrompt(prompt, weights.getAsInt());
        Optional<String> store = gateway.state().cacheStore().map(CacheStore::address);
        boolean lacking = server.cache().cachedTokens(scoped.sharedSegments()) < scoped.sharedTokens();
        server.cache().recordPrefilled(scoped.segments());
        Optional<String> backUpTo = copyHolder.map(holder -> holder.server().address());
        boolean saveDue = gateway.state().knownSegments().isSaveDue(scoped.sharedSegments(), System.nanoTime());
        return new EngineDispatch(
                scope, weights, store.filter(address -> lacking), store.filter(address -> saveDue), backUpTo, copyAt);
    }

    /** Notes that the prompt's parts are now saved in the cache store under the scope that was sent. */
    void recordSavedSegments(Dispatch dispatch) {
        admitted.request()
                .prompt()
                .ifPresent(prompt -> dispatch.engine()
                        .filter(engine -> engine.saveTo().isPresent())
                        .ifPresent(engine -> gateway.state()
                                .knownSegments()
                                .recordSaved(
                                        scopedPrompt(
                                                        prompt,
                                                        engine.weightsVersion().orElse(0))
                                                .sharedSegments(),
                                        System.nanoTime())));
    }
}

package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.geraniumford.core.fleet.CacheStores;
import org.geraniumford.core.fleet.PrefixProviders;
import org.geraniumford.core.fleet.ScopedPrompt;
import org.geraniumford.core.fleet.ServerState;
import org.geraniumford.core.fleet.StoreTraffic;
import org.geraniumford.core.service.CacheStore;
import org.geraniumford.core.service.EngineSpec;

/**
 * Decides from where an engine fetches the shared segments of a prompt that it does not have cached: from their cache
 * store, or from another engine if there is no store or its link is busy. Runs on the gateway's network thread.
 */
final class PrefixTransfers {
    /**
     * The use of a store's link from which on engines fetch from each other. Transfers wait for each other, and the
     * wait grows fast near the bandwidth; below, the store is more certain to have a prefix than an engine.
     */
    private static final double BUSY_UTILIZATION = 0.75;

    private static final double CROSS_DOMAIN_FACTOR = 2;

    private final GatewayState state;
    private final PrefixProviders providers;
    private final StoreTraffic traffic = StoreTraffic.idle();

    private PrefixTransfers(GatewayState state, RandomGenerator random) {
        this.state = state;
        this.providers = PrefixProviders.of(random);
    }

    // -- construction

    /**
     * Creates the decision.
     *
     * @param state the estimated state of the deployment
     * @param random the source of the choice among several engines
     */
    static PrefixTransfers of(GatewayState state, RandomGenerator random) {
        return new PrefixTransfers(requireNonNull(state, "state is null"), random);
    }

    // -- decisions

    /**
     * Chooses from where an engine fetches what it does not have cached of a prompt's shared segments, and counts the
     * transfer if it comes from a store.
     *
     * @param fetching the engine, whose weights are known
     * @param scoped the prompt in the scope of these weights
     * @return an address, IP:PORT; empty if the engine has the segments or nobody else does
     */
    Optional<String> source(ServerState fetching, ScopedPrompt scoped) {
        long missingTokens = scoped.sharedTokens() - fetching.cache().cachedTokens(scoped.sharedSegments());
        if (missingTokens <= 0) {
            return Optional.empty();
        }
        long nowNanos = System.nanoTime();
        Optional<CacheStore> store = stores().storeOf(scoped.sharedSegments());
        boolean stored = stores().isFetchable(scoped.sharedSegments());
        // The store may have what is not known to be saved, and its content is more certain than that of an engine.
        boolean useful = store.map(found -> isBusy(found, nowNanos)).orElse(true);
        Optional<String> provider = useful ? provider(fetching, scoped, nowNanos) : Optional.empty();
        if (provider.isEmpty() && stored) {
            store.ifPresent(found -> record(found, fetching, missingTokens, nowNanos));
        }
        return provider.or(() -> store.map(CacheStore::address));
    }

    /** Counts the transfer of a prompt's shared segments to their store. */
    void recordSave(CacheStore store, ServerState saving, ScopedPrompt scoped) {
        record(store, saving, scoped.sharedTokens(), System.nanoTime());
    }

    private boolean isBusy(CacheStore store, long nowNanos) {
        return traffic.utilization(store.address(), store.linkMegabits(), state.entryCount(), nowNanos)
                > BUSY_UTILIZATION;
    }

    private Optional<String> provider(ServerState fetching, ScopedPrompt scoped, long nowNanos) {
        return providers
                .choose(
                        state.directory().activeServers(fetching.server().service()),
                        fetching,
                        scoped.prompt().model(),
                        scoped.sharedSegments(),
                        nowNanos)
                .map(provider -> provider.server().address());
    }

    private void record(CacheStore store, ServerState engine, long tokens, long nowNanos) {
        boolean sameDomain = engine.server().failureDomain().equals(store.failureDomain());
        traffic.record(
                store.address(),
                tokens * tokenBytes(engine.server().service()) * (sameDomain ? 1 : CROSS_DOMAIN_FACTOR),
                nowNanos);
    }

    private double tokenBytes(String service) {
        return state.configuration()
                .engineSpec(service)
                .map(EngineSpec::kvTokenBytes)
                .orElse(0.0);
    }

    private CacheStores stores() {
        return state.cacheStores();
    }
}

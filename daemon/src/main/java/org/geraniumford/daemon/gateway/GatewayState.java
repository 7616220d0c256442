package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumford.core.fleet.SavedSegments;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.core.service.CacheStore;
import org.geraniumford.core.service.CallerLimits;
import org.geraniumford.core.service.RoutingTable;
import org.geraniumford.core.service.ServiceDefinition;
import org.geraniumford.core.weights.PublishedWeights;
import org.geraniumford.core.weights.WeightsHistory;
import org.geraniumford.transport.log.LogEvent;

/** What the gateway believes of its installation. Used on its network thread only. */
public final class GatewayState {
    /** How many entries are assumed before peers are heard. */
    private static final int ASSUMED_ENTRIES = 8;

    private final String failureDomain;
    private final ServerDirectory directory = ServerDirectory.empty(
            name -> routingTable().flatMap(t -> t.service(name)).flatMap(ServiceDefinition::engine));
    private final Map<String, WeightsHistory> weightsHistories = new HashMap<>();
    private final SavedSegments knownSegments = SavedSegments.empty();
    private RoutingTable routingTable;
    private Set<String> alivePeers = Set.of();
    private boolean serverListLoaded;
    private boolean cacheStoreUp = true;
    private int entryCount = ASSUMED_ENTRIES;

    private GatewayState(String failureDomain) {
        this.failureDomain = failureDomain;
    }

    // -- construction

    /**
     * Creates a state without beliefs.
     *
     * @param failureDomain where this entry stands
     * @return a new state
     */
    public static GatewayState empty(String failureDomain) {
        return new GatewayState(requireNonNull(failureDomain, "failureDomain is null"));
    }

    // -- queries

    /**
     * Returns where this entry stands.
     *
     * @return the name of the failure domain
     */
    public String failureDomain() {
        return failureDomain;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the table, or empty before the first one
     */
    public Optional<RoutingTable> routingTable() {
        return Optional.ofNullable(routingTable);
    }

    /**
     * Returns the bounds on callers in force.
     *
     * @return the configured bounds, or the default ones before the first configuration
     */
    public CallerLimits limits() {
        return routingTable().map(RoutingTable::limits).orElse(CallerLimits.DEFAULT);
    }

    /**
     * Returns the backend servers.
     *
     * @return the directory
     */
    public ServerDirectory directory() {
        return directory;
    }

    /**
     * Returns the newest version named for a model's weights.
     *
     * @param model the model
     * @return the version; 0 if none was named
     */
    public int publishedWeights(String model) {
        return history(model).newest();
    }

    /**
     * Returns the newest version of a model's weights that is named or held.
     *
     * @param model the model
     * @return the version; 0 if none is known
     */
    public int newestWeights(String model) {
        int held = directory.all().stream()
                .mapToInt(server -> server.weightsVersion(model).orElse(0))
                .max()
                .orElse(0);
        return Math.max(held, publishedWeights(model));
    }

    /**
     * Returns the models whose weights are named.
     *
     * @return the newest version of each model
     */
    public Map<String, Integer> publishedWeights() {
        return weightsHistories.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, named -> named.getValue().newest()));
    }

    /**
     * Returns what other entries are told of named weights.
     *
     * @return the recent versions of each model
     */
    public List<PublishedWeights> weightsGossip() {
        long now = System.nanoTime();
        return weightsHistories.entrySet().stream()
                .flatMap(named -> named.getValue().gossip(named.getKey(), now).stream())
                .toList();
    }

    /**
     * Returns the oldest version of a model's weights on which a request may still begin.
     *
     * @param model the model
     * @param bound how long older weights may be used
     * @return the version; 0 if any may do
     */
    public int oldestAllowedWeights(String model, Duration bound) {
        return history(model).oldestAllowed(bound, System.nanoTime());
    }

    private WeightsHistory history(String model) {
        return weightsHistories.getOrDefault(model, WeightsHistory.empty());
    }

    /**
     * Returns the store of cached parts, if it answers.
     *
     * @return the store, or empty if there is none or it is down
     */
    public Optional<CacheStore> cacheStore() {
        return cacheStoreUp ? routingTable().flatMap(RoutingTable::cacheStore) : Optional.empty();
    }

    /**
     * Returns the prompt parts that can be fetched from the store of cached parts.
     *
     * @return the parts, which change
     */
    public SavedSegments knownSegments() {
        return knownSegments;
    }

    /**
     * Says whether requests can be served.
     *
     * @return true once a configuration and the list of servers are known
     */
    public boolean isReady() {
        return routingTable != null && serverListLoaded;
    }

    /**
     * Says whether another entry was heard lately.
     *
     * @param host the name of its host
     * @return true if it told of its load within the last second or so
     */
    public boolean isPeerAlive(String host) {
        return alivePeers.contains(host);
    }

    /**
     * Returns how many entries share the budgets.
     *
     * @return the count, this entry included
     */
    public int entryCount() {
        return entryCount;
    }

    // -- commands

    /**
     * Takes a configuration; an older one than that in force is ignored.
     *
     * @param newer the configuration
     * @param source who told of it, for the log
     * @return true if it is now in force
     */
    public boolean applyConfiguration(RoutingTable newer, String source) {
        if (routingTable != null && newer.version() <= routingTable.version()) {
            return false;
        }
        LogEvent.of("configuration")
                .with("version", newer.version())
                .with("before", routingTable == null ? 0 : routingTable.version())
                .with("source", source)
                .info();
        routingTable = newer;
        directory.refreshEngineSpecs();
        return true;
    }

    /**
     * Takes a named version of a model's weights.
     *
     * @param named the model, the version, and what is known of when it was named
     */
    public void recordPublishedWeights(PublishedWeights named) {
        WeightsHistory history = weightsHistories.computeIfAbsent(named.model(), model -> WeightsHistory.empty());
        if (named.version() > history.newest()) {
            LogEvent.of("weights_named")
                    .with("model", named.model())
                    .with("version", named.version())
                    .with("age_ms", named.ageMillis())
                    .with("witnessed", named.publicationObserved())
                    .info();
        }
        long now = System.nanoTime();
        long then = now - Duration.ofMillis(named.ageMillis()).toNanos();
        if (named.publicationObserved()) {
            history.recordPublished(named.version(), then, now);
        } else {
            history.recordInitial(named.version(), then, now);
        }
    }

    /** Notes that the list of servers has been read. */
    public void markServerListLoaded() {
        serverListLoaded = true;
    }

    /**
     * Notes whether the store of cached parts answers.
     *
     * @param up true if it does
     */
    public void setCacheStoreUp(boolean up) {
        if (up != cacheStoreUp) {
            LogEvent.of(up ? "cache_store_regained" : "cache_store_lost").info();
            knownSegments.clear();
        }
        cacheStoreUp = up;
    }

    /**
     * Notes which other entries were heard lately, this one not included. The largest count stands, since an entry that
     * is cut off from its peers does not know how many of them go on.
     *
     * @param hosts the names of their hosts
     */
    public void updateAlivePeers(Set<String> hosts) {
        alivePeers = Set.copyOf(hosts);
        entryCount = Math.max(entryCount, hosts.size() + 1);
    }
}

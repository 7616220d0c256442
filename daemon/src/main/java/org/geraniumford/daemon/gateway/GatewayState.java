package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.geraniumford.core.fleet.CacheStores;
import org.geraniumford.core.fleet.ServerDirectory;
import org.geraniumford.core.fleet.ServerSpeeds;
import org.geraniumford.core.limits.QuotaTolerance;
import org.geraniumford.core.service.FreshnessBounds;
import org.geraniumford.core.service.RoutingTable;
import org.geraniumford.core.time.SharedClock;
import org.geraniumford.core.weights.PublishedWeights;
import org.geraniumford.daemon.streams.StreamRegistry;
import org.geraniumford.transport.log.LogEvent;

/** The gateway's estimate of the state of its deployment. Used only on the network thread of the gateway. */
public final class GatewayState {
    /** The number of entries assumed until gossip shows that there are more. */
    private static final int ASSUMED_ENTRIES = 8;

    /** A correction of the clock by more than this is logged. */
    private static final Duration LOGGED_CLOCK_ERROR = Duration.ofMillis(100);

    private final String failureDomain;
    private final ServerDirectory directory =
            ServerDirectory.empty(name -> configuration().engineSpec(name));
    private final WeightsHistories weights = WeightsHistories.empty();
    private final ServerLimits serverLimits = ServerLimits.of(directory, this::sharedMillis);
    private final ServerAvailability serverAvailability = ServerAvailability.of(directory);
    private final ServerSpeeds serverSpeeds = ServerSpeeds.of(directory);
    private final CacheStores cacheStores = CacheStores.empty();
    private final CustomerLimits customerLimits;
    private final SharedClock clock;
    private final ConfigurationInForce configuration;
    private final StreamRegistry streams;
    private Runnable loadListener = () -> {};
    private Set<String> alivePeers = Set.of();
    private boolean serverListLoaded;
    private int entryCount = ASSUMED_ENTRIES;

    private GatewayState(
            String failureDomain, SharedClock clock, QuotaTolerance quotaTolerance, FreshnessBounds freshness) {
        this.failureDomain = failureDomain;
        this.customerLimits = CustomerLimits.of(quotaTolerance);
        this.clock = clock;
        this.configuration = ConfigurationInForce.of(clock, freshness);
        configuration.onApplied(this::useConfiguration);
        this.streams = StreamRegistry.of(directory, clock, new Random());
    }

    // -- construction

    /**
     * Creates a state without configuration, servers or peers.
     *
     * @param failureDomain the failure domain of this entry
     * @return an empty state
     */
    public static GatewayState empty(String failureDomain) {
        return of(failureDomain, SharedClock.of(System::nanoTime));
    }

    /**
     * Creates a state without configuration, servers or peers.
     *
     * @param failureDomain the failure domain of this entry
     * @param quotaTolerance by how much the entries together may exceed a customer's limit
     * @param freshness how long the entry goes on without a confirmation of its configuration
     * @return an empty state
     */
    public static GatewayState of(String failureDomain, QuotaTolerance quotaTolerance, FreshnessBounds freshness) {
        return new GatewayState(
                requireNonNull(failureDomain, "failureDomain is null"),
                SharedClock.of(System::nanoTime),
                quotaTolerance,
                freshness);
    }

    /**
     * Creates a state without configuration, servers or peers.
     *
     * @param failureDomain the failure domain of this entry
     * @param clock the clock in which ages are counted
     * @return an empty state
     */
    static GatewayState of(String failureDomain, SharedClock clock) {
        return new GatewayState(
                requireNonNull(failureDomain, "failureDomain is null"),
                requireNonNull(clock, "clock is null"),
                QuotaTolerance.DEFAULT,
                FreshnessBounds.DEFAULT);
    }

    // -- queries

    /**
     * Returns the failure domain of this entry.
     *
     * @return the name of the failure domain
     */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns the configuration in force, which changes over time. */
    public ConfigurationInForce configuration() {
        return configuration;
    }

    /** Returns the record of where streams were begun, which is mutable. */
    public StreamRegistry streams() {
        return streams;
    }

    /**
     * Returns the directory of backend servers.
     *
     * @return the directory, which changes over time
     */
    public ServerDirectory directory() {
        return directory;
    }

    /**
     * Returns the limits that backend servers name.
     *
     * @return the limits, which change over time
     */
    public ServerLimits serverLimits() {
        return serverLimits;
    }

    /**
     * Returns the limits of customers over all entries.
     *
     * @return the limits, which change over time
     */
    public CustomerLimits customerLimits() {
        return customerLimits;
    }

    /**
     * Returns what backend servers say about taking further requests.
     *
     * @return the record, which changes over time
     */
    public ServerAvailability serverAvailability() {
        return serverAvailability;
    }

    /**
     * Returns the speeds of the backend servers.
     *
     * @return the speeds, which change over time
     */
    public ServerSpeeds serverSpeeds() {
        return serverSpeeds;
    }

    /**
     * Returns the newest published version of a model's weights.
     *
     * @param model the name of the model
     * @return the version; 0 if none was published
     */
    public int publishedWeights(String model) {
        return weights.of(model).newest();
    }

    /**
     * Returns the newest version of a model's weights that is published or loaded by a server.
     *
     * @param model the name of the model
     * @return the version; 0 if none is known
     */
    public int newestWeights(String model) {
        int loaded = directory.all().stream()
                .mapToInt(server -> server.weightsVersion(model).orElse(0))
                .max()
                .orElse(0);
        return Math.max(loaded, publishedWeights(model));
    }

    /**
     * Returns the newest published version of every model's weights.
     *
     * @return the version by the name of the model; a model without a published version is absent
     */
    public Map<String, Integer> publishedWeights() {
        return weights.newest();
    }

    /**
     * Returns the published weights that are announced to other entries.
     *
     * @return the newest versions of every model whose publication was observed, and the version that existed at the
     *     entry's start if none is newer
     */
    public List<PublishedWeights> weightsGossip() {
        return weights.gossip(clock.nanos());
    }

    /**
     * Returns the oldest version of a model's weights on which a request may still begin.
     *
     * @param model the name of the model
     * @param maxStaleness how long older weights may be used after newer ones were published
     * @return the version; 0 if every version is allowed
     */
    public int oldestAllowedWeights(String model, Duration maxStaleness) {
        return weights.of(model).oldestAllowed(maxStaleness, clock.nanos());
    }

    /**
     * Returns how much longer requests may begin on a version of a model's weights.
     *
     * @param model the name of the model
     * @param version the version
     * @param maxStaleness how long older weights may be used after newer ones were published
     * @return the time left; zero or negative if requests may no longer begin on it, or if that is not known
     */
    public Duration weightsTimeLeft(String model, int version, Duration maxStaleness) {
        return weights.of(model).timeLeft(version, maxStaleness, clock.nanos());
    }

    /**
     * Returns the time of the clock that all entries share.
     *
     * @return the estimated time in milliseconds
     */
    public long sharedMillis() {
        return clock.millis();
    }

    /**
     * Returns the cache stores and the prompt segments that can be fetched from them.
     *
     * @return the stores, which change over time
     */
    public CacheStores cacheStores() {
        return cacheStores;
    }

    /**
     * Returns whether requests can be served.
     *
     * @return true once a configuration and the list of servers were received
     */
    public boolean isReady() {
        return configuration.routingTable().isPresent() && serverListLoaded;
    }

    /**
     * Returns whether another entry sent gossip recently.
     *
     * @param host the name of the other entry's host
     * @return true if gossip from it was received within about the last 2 seconds
     */
    public boolean isPeerAlive(String host) {
        return alivePeers.contains(host);
    }

    /**
     * Returns how many entries share the retry budgets.
     *
     * @return the count, including this entry
     */
    public int entryCount() {
        return entryCount;
    }

    // -- commands

    private void useConfiguration(RoutingTable table) {
        directory.refreshEngineSpecs();
        cacheStores.configure(table.cacheStores());
        customerLimits.applyConfiguration(table.customers());
    }

    /**
     * Applies a reading of the clock that all entries share.
     *
     * @param sharedMillis what the clock showed at some time before now, in milliseconds
     */
    public void observeSharedClock(long sharedMillis) {
        long behindMillis = clock.observe(sharedMillis);
        if (behindMillis > LOGGED_CLOCK_ERROR.toMillis()) {
            LogEvent.of("clock_advanced").with("behind_ms", behindMillis).info();
        }
    }

    /**
     * Records a published version of a model's weights.
     *
     * @param published the model, the version, its time, and whether its publication was observed
     * @param source where the version was read, for the log: the store or a peer
     */
    public void recordPublishedWeights(PublishedWeights published, String source) {
        if (!clock.isKnown()) {
            // Only readings of the clock itself count afterwards, so that no error goes from entry to entry.
            observeSharedClock(published.publishedMillis() + published.ageMillis());
        }
        weights.record(published, source, clock.nanos());
    }

    /**
     * Sets the listener for load that this entry adds to a server, and for what servers say.
     *
     * @param listener called after each start of an attempt and each change of a limit or of a server's leaving
     */
    public void onLoadAdded(Runnable listener) {
        loadListener = requireNonNull(listener, "listener is null");
        serverLimits.onChanged(listener);
        serverAvailability.onChanged(listener);
    }

    /** Reports that this entry has added load to a server, so that the other entries learn of it soon. */
    void reportLoadAdded() {
        loadListener.run();
    }

    /** Records that the list of servers has been read. */
    public void markServerListLoaded() {
        serverListLoaded = true;
    }

    /**
     * Records whether a cache store is available.
     *
     * @param address the store's address
     * @param up true if the store accepts connections
     */
    public void setCacheStoreAvailable(String address, boolean up) {
        if (cacheStores.setAvailable(address, up)) {
            LogEvent.of(up ? "cache_store_regained" : "cache_store_lost")
                    .with("address", address)
                    .info();
        }
    }

    /**
     * Records which other entries sent gossip recently. The entry count never shrinks, because an entry that is
     * partitioned from its peers cannot observe how many of them are still running.
     *
     * @param hosts the names of the hosts of the other entries, without this one
     */
    public void updateAlivePeers(Set<String> hosts) {
        alivePeers = Set.copyOf(hosts);
        entryCount = Math.max(entryCount, hosts.size() + 1);
    }
}

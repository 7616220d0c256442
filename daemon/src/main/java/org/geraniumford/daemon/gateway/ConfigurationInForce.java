package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Consumer;
import org.geraniumford.core.service.CallerLimits;
import org.geraniumford.core.service.ConfigurationFreshness;
import org.geraniumford.core.service.EngineSpec;
import org.geraniumford.core.service.FreshnessBounds;
import org.geraniumford.core.service.RoutingTable;
import org.geraniumford.core.service.ServiceDefinition;
import org.geraniumford.core.time.SharedClock;
import org.geraniumford.transport.log.LogEvent;

/**
 * The newest configuration that the entry has received, and how recently it was confirmed as the newest one there is.
 * Used only on the network thread of the gateway.
 */
public final class ConfigurationInForce {
    private final ConfigurationFreshness freshness;
    private Consumer<RoutingTable> listener = table -> {};
    private RoutingTable routingTable;

    private ConfigurationInForce(ConfigurationFreshness freshness) {
        this.freshness = freshness;
    }

    // -- construction

    /**
     * Creates an object before the first configuration.
     *
     * @param clock the clock that all entries share
     * @param bounds how long the entry goes on without a confirmation of its configuration
     * @return a new object
     */
    static ConfigurationInForce of(SharedClock clock, FreshnessBounds bounds) {
        return new ConfigurationInForce(ConfigurationFreshness.of(clock, bounds));
    }

    // -- queries

    /**
     * Returns the configuration.
     *
     * @return the routing table, or empty before the first configuration
     */
    public Optional<RoutingTable> routingTable() {
        return Optional.ofNullable(routingTable);
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version number that the operator set; 0 before the first configuration
     */
    public long version() {
        return routingTable == null ? 0 : routingTable.version();
    }

    /**
     * Returns how recently the configuration was confirmed.
     *
     * @return the record, which is mutable
     */
    public ConfigurationFreshness freshness() {
        return freshness;
    }

    /** Returns whether the configuration may have been replaced, so that the operator's table must be read now. */
    public boolean mayBeReplaced() {
        return freshness.mustAsk(version());
    }

    /** Returns whether a request may be refused for good because the configuration does not allow it. */
    boolean allowsRefusal() {
        return freshness.allowsRefusal(version());
    }

    /** Returns how long ago the configuration was confirmed, for the log. */
    String describeAge() {
        return freshness.describeAge(version());
    }

    /**
     * Returns the limits on the requests and connections of callers.
     *
     * @return the configured limits, or the defaults before the first configuration
     */
    public CallerLimits callerLimits() {
        return routingTable().map(RoutingTable::limits).orElse(CallerLimits.DEFAULT);
    }

    /** Returns what is configured of a service's engines; empty if the service has none or is not known. */
    Optional<EngineSpec> engineSpec(String service) {
        return routingTable().flatMap(table -> table.service(service)).flatMap(ServiceDefinition::engine);
    }

    // -- commands

    /** Sets the listener that is called with each configuration once it is in force. */
    void onApplied(Consumer<RoutingTable> newListener) {
        listener = requireNonNull(newListener, "newListener is null");
    }

    /**
     * Applies a configuration; one that is not newer than the configuration in force is ignored.
     *
     * @param table the configuration
     * @param source where the configuration came from, for the log
     * @return true if it was applied
     */
    public boolean apply(RoutingTable table, String source) {
        if (routingTable != null && table.version() <= routingTable.version()) {
            return false;
        }
        LogEvent.of("configuration")
                .with("version", table.version())
                .with("before", version())
                .with("source", source)
                .info();
        routingTable = table;
        listener.accept(table);
        return true;
    }
}

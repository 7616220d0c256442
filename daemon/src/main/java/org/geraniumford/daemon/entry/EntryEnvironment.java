package org.geraniumford.daemon.entry;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import org.geraniumford.core.configuration.ConfigurationHolder;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.transport.link.Link;

/**
 * What an entry takes from the other parts of its process.
 *
 * @param configurations the configuration in force
 * @param hosts the platform's list of hosts, as last read
 * @param configurationMessages looks at each message that arrives; true if it needs no other handling
 */
public record EntryEnvironment(
        ConfigurationHolder configurations,
        Supplier<List<Host>> hosts,
        BiPredicate<Link, Envelope> configurationMessages) {
    /** Checks the components. */
    public EntryEnvironment {
        requireNonNull(configurations, "configurations is null");
        requireNonNull(hosts, "hosts is null");
        requireNonNull(configurationMessages, "configurationMessages is null");
    }

    // -- construction

    /**
     * Returns surroundings without a platform: the seeds are the only hosts.
     *
     * @param configurations the configuration in force
     * @return an environment that handles no configuration messages
     */
    public static EntryEnvironment of(ConfigurationHolder configurations) {
        return new EntryEnvironment(configurations, List::of, (link, envelope) -> false);
    }
}

package org.geraniumford.daemon.entry;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.Supplier;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.geraniumford.core.close.Closer;
import org.geraniumford.core.configuration.ConfigurationHolder;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.request.RequestLimits;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.daemon.calls.AtMostOnceServiceCaller;
import org.geraniumford.daemon.configuration.ConfigurationSync;
import org.geraniumford.daemon.limits.LimitExchange;
import org.geraniumford.daemon.limits.RequestLimiter;
import org.geraniumford.daemon.membership.HostDirectory;
import org.geraniumford.daemon.settings.EntrySettings;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.platform.PlatformClient;

/**
 * The components that an entry uses but does not create itself.
 *
 * @param hosts returns the platform's list of hosts, as last read
 * @param controlMessageHandler receives each message first and handles those about the configuration, customers' limits
 *     and the host list; returns true if the message needs no further handling
 * @param serviceCallerFactory creates the {@link ServiceCaller} from a client for the sidecars of plain services
 * @param limits the limits of one model request
 * @param limiter admits requests within their customers' limits
 */
record EntryDependencies(
        Supplier<List<Host>> hosts,
        BiPredicate<Link, Envelope> controlMessageHandler,
        Function<SidecarClient, ServiceCaller> serviceCallerFactory,
        RequestLimits limits,
        RequestLimiter limiter) {
    /** Creates the dependencies of an entry. */
    interface Factory {
        /**
         * Creates the dependencies of a starting entry.
         *
         * @param configurations holds the current configuration and is kept up to date
         * @param network opens links to other processes
         * @param incarnation the entry's start, in microseconds since the epoch
         * @param closer receives everything that must be closed together with the entry
         * @return the dependencies
         */
        EntryDependencies open(
                ConfigurationHolder configurations, LinkNetwork network, long incarnation, Closer closer);
    }

    EntryDependencies {
        requireNonNull(hosts, "hosts is null");
        requireNonNull(controlMessageHandler, "controlMessageHandler is null");
        requireNonNull(serviceCallerFactory, "serviceCallerFactory is null");
        requireNonNull(limits, "limits is null");
        requireNonNull(limiter, "limiter is null");
    }

    // -- construction

    /**
     * Returns dependencies without a platform: the hosts are given, no control message is handled, customers have no
     * limits, and calls that are not idempotent are refused.
     */
    static EntryDependencies of(Supplier<List<Host>> hosts, RequestLimits limits) {
        return new EntryDependencies(
                hosts, (link, envelope) -> false, IdempotentServiceCaller::new, limits, RequestLimiter.unlimited());
    }

    /** Returns a factory that connects to the platform and keeps the configuration and the host list up to date. */
    static Factory platformFactory(EntrySettings settings) {
        return (configurations, network, incarnation, closer) -> {
            AsyncHttpClient client = closer.add(Dsl.asyncHttpClient(PlatformClient.httpClientConfiguration()));
            PlatformClient platform = PlatformClient.of(settings.platform(), client);
            HostDirectory hostDirectory = closer.add(HostDirectory.start(platform, incarnation));
            ConfigurationSync configurationSync = closer.add(
                    ConfigurationSync.start(configurations, platform, network, settings.seeds(), incarnation));
            Function<SidecarClient, ServiceCaller> serviceCallerFactory = sidecars -> new DispatchingServiceCaller(
                    new IdempotentServiceCaller(sidecars),
                    closer.add(AtMostOnceServiceCaller.start(platform, sidecars, settings.processId(), incarnation)));
            LimitExchange limitExchange = closer.add(
                    LimitExchange.start(settings.processId(), configurations, hostDirectory::hosts, network));
            return new EntryDependencies(
                    hostDirectory::hosts,
                    (link, envelope) -> configurationSync.handleMessage(link, envelope)
                            || limitExchange.handleMessage(link, envelope)
                            || hostDirectory.handleMessage(link, envelope),
                    serviceCallerFactory,
                    RequestLimits.ofDefaults(),
                    limitExchange);
        };
    }
}

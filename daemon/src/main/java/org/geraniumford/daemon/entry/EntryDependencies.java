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
 * What an entry takes from the other parts of its process.
 *
 * @param hosts the platform's list of hosts, as last read
 * @param controlMessageHandler looks at each message that arrives; true if it needs no other handling
 * @param serviceCallerFactory makes the calls of plain services through the entry's links
 * @param limits the bounds of one model request
 * @param limiter admits requests within their customers' limits
 */
record EntryDependencies(
        Supplier<List<Host>> hosts,
        BiPredicate<Link, Envelope> controlMessageHandler,
        Function<SidecarClient, ServiceCaller> serviceCallerFactory,
        RequestLimits limits,
        RequestLimiter limiter) {
    /** Opens what an entry needs; the closer takes what must be closed with it. */
    interface Factory {
        EntryDependencies open(
                ConfigurationHolder configurations, LinkNetwork network, long incarnation, Closer closer);
    }

    EntryDependencies {
        requireNonNull(hosts, "hosts is null");
        requireNonNull(controlMessageHandler, "configurationMessages is null");
        requireNonNull(serviceCallerFactory, "calls is null");
        requireNonNull(limits, "limits is null");
        requireNonNull(limiter, "gate is null");
    }

    // -- construction

    /** Returns surroundings without a platform: the hosts are given, and no configuration message is handled. */
    static EntryDependencies of(Supplier<List<Host>> hosts, RequestLimits limits) {
        return new EntryDependencies(
                hosts, (link, envelope) -> false, IdempotentServiceCaller::new, limits, RequestLimiter.unlimited());
    }

    /** Opens the connection to the platform and keeps the configuration and the host list up to date. */
    static Factory platformFactory(EntrySettings settings) {
        return (configurations, network, incarnation, closer) -> {
            AsyncHttpClient client = closer.add(Dsl.asyncHttpClient(PlatformClient.httpClientConfiguration()));
            PlatformClient platform = PlatformClient.of(settings.platform(), client);
            HostDirectory directory = closer.add(HostDirectory.start(platform, incarnation));
            ConfigurationSync sync = closer.add(
                    ConfigurationSync.start(configurations, platform, network, settings.seeds(), incarnation));
            Function<SidecarClient, ServiceCaller> calls = gateway -> new DispatchingServiceCaller(
                    new IdempotentServiceCaller(gateway),
                    closer.add(AtMostOnceServiceCaller.start(platform, gateway, settings.processId(), incarnation)));
            LimitExchange limits =
                    closer.add(LimitExchange.start(settings.processId(), configurations, directory::hosts, network));
            return new EntryDependencies(
                    directory::hosts,
                    (link, envelope) -> sync.handleMessage(link, envelope)
                            || limits.handleMessage(link, envelope)
                            || directory.handleMessage(link, envelope),
                    calls,
                    RequestLimits.ofDefaults(),
                    limits);
        };
    }
}

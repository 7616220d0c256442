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
import org.geraniumford.daemon.calls.ServiceCalls;
import org.geraniumford.daemon.configuration.ConfigurationSync;
import org.geraniumford.daemon.limits.CustomerGate;
import org.geraniumford.daemon.limits.LimitExchange;
import org.geraniumford.daemon.membership.HostDirectory;
import org.geraniumford.daemon.settings.EntrySettings;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.platform.PlatformClient;

/**
 * What an entry takes from the other parts of its process.
 *
 * @param hosts the platform's list of hosts, as last read
 * @param configurationMessages looks at each message that arrives; true if it needs no other handling
 * @param calls makes the calls of plain services through the entry's links
 * @param limits the bounds of one model request
 * @param gate admits requests within their customers' limits
 */
record EntryEnvironment(
        Supplier<List<Host>> hosts,
        BiPredicate<Link, Envelope> configurationMessages,
        Function<CallGateway, ServiceCaller> calls,
        RequestLimits limits,
        CustomerGate gate) {
    /** Opens what an entry needs; the closer takes what must be closed with it. */
    interface Factory {
        EntryEnvironment open(ConfigurationHolder configurations, LinkNetwork network, long incarnation, Closer closer);
    }

    EntryEnvironment {
        requireNonNull(hosts, "hosts is null");
        requireNonNull(configurationMessages, "configurationMessages is null");
        requireNonNull(calls, "calls is null");
        requireNonNull(limits, "limits is null");
        requireNonNull(gate, "gate is null");
    }

    // -- construction

    /** Returns surroundings without a platform: the hosts are given, and no configuration message is handled. */
    static EntryEnvironment of(Supplier<List<Host>> hosts, RequestLimits limits) {
        return new EntryEnvironment(
                hosts, (link, envelope) -> false, IdempotentCalls::new, limits, CustomerGate.open());
    }

    /** Opens the connection to the platform and keeps the configuration and the host list up to date. */
    static Factory platform(EntrySettings settings) {
        return (configurations, network, incarnation, closer) -> {
            AsyncHttpClient client = closer.add(Dsl.asyncHttpClient(PlatformClient.configuration()));
            PlatformClient platform = PlatformClient.of(settings.platform(), client);
            HostDirectory directory = closer.add(HostDirectory.start(platform, incarnation));
            ConfigurationSync sync = closer.add(
                    ConfigurationSync.start(configurations, platform, network, settings.seeds(), incarnation));
            Function<CallGateway, ServiceCaller> calls = gateway -> new ServiceRouter(
                    new IdempotentCalls(gateway),
                    closer.add(ServiceCalls.start(platform, gateway, settings.processId(), incarnation)));
            LimitExchange limits =
                    closer.add(LimitExchange.start(settings.processId(), configurations, directory::hosts, network));
            return new EntryEnvironment(
                    directory::hosts,
                    (link, envelope) -> sync.received(link, envelope)
                            || limits.received(link, envelope)
                            || directory.received(link, envelope),
                    calls,
                    RequestLimits.standard(),
                    limits);
        };
    }
}

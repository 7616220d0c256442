package org.geraniumford.daemon.limits;

import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumford.core.configuration.ConfigurationHolder;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.limits.CustomerLimiter;
import org.geraniumford.core.limits.LimitOwner;
import org.geraniumford.core.limits.LimitShare;
import org.geraniumford.core.limits.LimitUsage;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostKind;
import org.geraniumford.core.membership.HostState;
import org.geraniumford.core.verdict.Refusal;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.Link;
import org.geraniumford.transport.link.LinkNetwork;
import org.geraniumford.transport.worker.Worker;
import org.geraniumford.transport.worker.WorkerHandler;

/**
 * Applies customers' limits across all entries. Reports this entry's usage of a customer's limits to the entry that
 * owns them, and owns the limits of some customers itself. Thread-safe.
 */
public final class LimitExchange implements RequestLimiter, AutoCloseable {
    private static final int RING_EVENTS = 8_192;
    private static final Duration TICK = Duration.ofMillis(50);

    private final String entryName;
    private final ConfigurationHolder configurations;
    private final Supplier<List<Host>> hosts;
    private final CustomerLimiter limiter;
    private final LimitOwner owner = LimitOwner.empty();
    private final EntryLinkPool entryLinks;
    private final Worker<UsageReport> worker;
    private volatile int entryCount = 1;

    private record UsageReport(Link link, LimitUsage usage) {}

    private LimitExchange(
            String entry, ConfigurationHolder configurations, Supplier<List<Host>> hosts, LinkNetwork network) {
        this.entryName = entry;
        this.configurations = configurations;
        this.hosts = hosts;
        this.limiter = CustomerLimiter.of(entry, () -> entryCount);
        this.entryLinks = new EntryLinkPool(network, this::handleMessage);
        this.worker = Worker.start("limits", RING_EVENTS, TICK, new Handler());
    }

    // -- construction

    /**
     * Starts the exchange of an entry.
     *
     * @param entry the entry's name, as in the platform's list of hosts
     * @param configurations holds the configuration with the customers' limits
     * @param hosts supplies the platform's list of hosts, as last read
     * @param network opens links to other entries
     * @return the running exchange
     */
    public static LimitExchange start(
            String entry, ConfigurationHolder configurations, Supplier<List<Host>> hosts, LinkNetwork network) {
        requireNonNull(entry, "entry is null");
        requireNonNull(configurations, "configurations is null");
        requireNonNull(hosts, "hosts is null");
        return new LimitExchange(entry, configurations, hosts, requireNonNull(network, "network is null"));
    }

    // -- commands

    @Override
    public Optional<Refusal> admit(Customer customer, long estimatedTokens) {
        return limiter.admit(customer, estimatedTokens, nowMicros());
    }

    @Override
    public void release(Customer customer, long extraTokens) {
        limiter.release(customer, extraTokens);
    }

    /**
     * Handles a usage report or a grant from any link of this process. Never blocks. A usage report is dropped if its
     * period is less than 1 µs or the worker's ring buffer is full.
     *
     * @param link the link on which the message arrived
     * @param envelope the message
     * @return true if the message is a usage report or a grant and needs no further handling; false for all others
     */
    public boolean handleMessage(Link link, Envelope envelope) {
        if (envelope.message() instanceof Message.LimitUsageReport report) {
            usage(report).ifPresent(usage -> worker.offer(new UsageReport(link, usage)));
            return true;
        } else if (envelope.message() instanceof Message.LimitGrant grant) {
            limiter.applyShare(share(grant), nowMicros());
            return true;
        }
        return false;
    }

    /** Stops the exchange. Once its granted shares expire, this entry applies equal shares of the limits. */
    @Override
    public void close() {
        worker.close();
        entryLinks.close();
    }

    // -- queries

    /**
     * Returns the share of a customer's limits that this entry applies now.
     *
     * @param customer the customer's name
     * @return the share, or empty while the entry applies an equal share of the limits
     */
    public Optional<LimitShare> share(String customer) {
        return limiter.share(customer, nowMicros());
    }

    // -- worker

    private final class Handler implements WorkerHandler<UsageReport> {
        @Override
        public void handle(UsageReport report) {
            recordUsage(report.usage()).ifPresent(share -> report.link().send(grant(share)));
        }

        @Override
        public void tick() {
            Map<String, InetSocketAddress> otherAddresses = otherEntryAddresses();
            List<String> entryNames = Stream.concat(Stream.of(entryName), otherAddresses.keySet().stream())
                    .toList();
            entryCount = entryNames.size();
            limiter.takeDueReports(nowMicros()).forEach(usage -> reportToOwner(usage, entryNames, otherAddresses));
        }
    }

    /**
     * Sends a usage report to the owner of the customer's limits, or records it if this entry is the owner. A report
     * that cannot be sent becomes part of the next one.
     */
    private void reportToOwner(
            LimitUsage usage, List<String> entryNames, Map<String, InetSocketAddress> otherAddresses) {
        String ownerName = LimitOwner.ownerOf(usage.customer(), entryNames).orElse(entryName);
        if (ownerName.equals(entryName)) {
            recordUsage(usage).ifPresent(share -> limiter.applyShare(share, nowMicros()));
        } else if (!entryLinks.send(otherAddresses.get(ownerName), usageReport(usage))) {
            limiter.restoreReport(usage);
        }
    }

    /** Records a usage report as the owner; returns empty if the configuration does not contain the customer. */
    private Optional<LimitShare> recordUsage(LimitUsage usage) {
        return Optional.ofNullable(configurations.current().customers().get(usage.customer()))
                .map(customer -> owner.recordUsage(customer, usage, nowMicros()));
    }

    /** Returns the addresses of the other live entries by name, without entries whose address has no port. */
    private Map<String, InetSocketAddress> otherEntryAddresses() {
        return hosts.get().stream()
                .filter(host -> host.kind() == HostKind.ENTRY && host.state() == HostState.LIVE)
                .filter(host -> !host.name().equals(entryName) && host.address().lastIndexOf(':') > 0)
                .collect(Collectors.toMap(Host::name, LimitExchange::address, (a, b) -> b));
    }

    private static InetSocketAddress address(Host host) {
        int colon = host.address().lastIndexOf(':');
        return new InetSocketAddress(
                host.address().substring(0, colon),
                Integer.parseInt(host.address().substring(colon + 1)));
    }

    // -- messages

    private static Message.LimitUsageReport usageReport(LimitUsage usage) {
        return new Message.LimitUsageReport(
                usage.customer(),
                usage.entry(),
                usage.periodMicros(),
                usage.requests(),
                usage.receivedRequests(),
                usage.tokens(),
                usage.receivedTokens(),
                usage.streams());
    }

    private static Optional<LimitUsage> usage(Message.LimitUsageReport report) {
        return report.periodMicros() < 1
                ? Optional.empty()
                : Optional.of(new LimitUsage(
                        report.customer(),
                        report.entry(),
                        report.periodMicros(),
                        report.requests(),
                        report.receivedRequests(),
                        report.tokens(),
                        report.receivedTokens(),
                        report.streams()));
    }

    private static Message.LimitGrant grant(LimitShare share) {
        return new Message.LimitGrant(
                share.customer(),
                share.requestsPerKilosecond(),
                share.tokensPerSecond(),
                share.streams(),
                share.blockedMicros(),
                share.reportAfterMicros());
    }

    private static LimitShare share(Message.LimitGrant grant) {
        return new LimitShare(
                grant.customer(),
                grant.requestsPerKilosecond(),
                grant.tokensPerSecond(),
                grant.streams(),
                grant.blockedMicros(),
                grant.reportAfterMicros());
    }

    private static long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }
}

package org.geraniumford.daemon.entry;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumford.core.membership.Host;
import org.geraniumford.core.membership.HostKind;
import org.geraniumford.core.membership.HostState;

/**
 * Computes the addresses that an entry connects to: the seeds of its settings and the sidecars in the platform's list
 * of hosts.
 */
final class PeerTargets implements Supplier<PeerPool.Targets> {
    private final Collection<InetSocketAddress> seeds;
    private final Supplier<List<Host>> hosts;
    private volatile CachedTargets cached;

    /** A list of hosts and its targets, so that the targets of an unchanged list are not computed again. */
    private record CachedTargets(List<Host> hosts, PeerPool.Targets targets) {}

    PeerTargets(Collection<InetSocketAddress> seeds, Supplier<List<Host>> hosts) {
        this.seeds = seeds;
        this.hosts = hosts;
    }

    // -- queries

    @Override
    public PeerPool.Targets get() {
        List<Host> hostList = List.copyOf(hosts.get());
        CachedTargets current = cached;
        if (current == null || !current.hosts().equals(hostList)) {
            current = new CachedTargets(hostList, compute(hostList));
            cached = current;
        }
        return current.targets();
    }

    private PeerPool.Targets compute(List<Host> hostList) {
        List<Host> sidecars =
                hostList.stream().filter(host -> host.kind() != HostKind.ENTRY).toList();
        Set<InetSocketAddress> sidecarAddresses = addresses(sidecars, host -> true);
        Set<InetSocketAddress> allAddresses =
                Stream.concat(seeds.stream(), sidecarAddresses.stream()).collect(Collectors.toUnmodifiableSet());
        return new PeerPool.Targets(allAddresses, addresses(sidecars, host -> host.state() == HostState.LEAVING));
    }

    /**
     * Returns the addresses of the hosts that the filter accepts, without those that do not have the form HOST:PORT.
     */
    private static Set<InetSocketAddress> addresses(List<Host> hosts, Predicate<Host> filter) {
        return hosts.stream()
                .filter(filter)
                .map(Host::address)
                .filter(address -> address.lastIndexOf(':') > 0)
                .map(PeerTargets::parse)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}

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

/** Where an entry connects to: the seeds, and the sidecars of the platform's list. */
final class PeerTargets implements Supplier<PeerPool.Targets> {
    private final Collection<InetSocketAddress> seeds;
    private final Supplier<List<Host>> hosts;
    private volatile CachedTargets cached;

    /** The targets of one host list, so that an unchanged list is not read again. */
    private record CachedTargets(List<Host> hosts, PeerPool.Targets targets) {}

    PeerTargets(Collection<InetSocketAddress> seeds, Supplier<List<Host>> hosts) {
        this.seeds = seeds;
        this.hosts = hosts;
    }

    // -- queries

    @Override
    public PeerPool.Targets get() {
        List<Host> list = List.copyOf(hosts.get());
        CachedTargets known = cached;
        if (known == null || !known.hosts().equals(list)) {
            known = new CachedTargets(list, compute(list));
            cached = known;
        }
        return known.targets();
    }

    private PeerPool.Targets compute(List<Host> list) {
        List<Host> sidecars =
                list.stream().filter(host -> host.kind() != HostKind.ENTRY).toList();
        Set<InetSocketAddress> listed = addresses(sidecars, host -> true);
        Set<InetSocketAddress> all =
                Stream.concat(seeds.stream(), listed.stream()).collect(Collectors.toUnmodifiableSet());
        return new PeerPool.Targets(all, addresses(sidecars, host -> host.state() == HostState.LEAVING));
    }

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

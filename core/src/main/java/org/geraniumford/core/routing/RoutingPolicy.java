package org.geraniumford.core.routing;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** How the candidates of an attempt are found, and whether they are probed for their cached blocks. */
public enum RoutingPolicy {
    /**
     * The hinted host, the first hosts in the rendezvous order of the shared prefixes and a spare host with a short
     * queue, probed for the blocks that they have cached.
     */
    PROBE {
        @Override
        public List<Candidate> candidates(RouteQuery query, List<ConnectedEngine> engines, RoutingCosts costs) {
            Stream<Candidate> hinted = query
                    .hint()
                    .flatMap(hint -> find(engines, hint.host()))
                    .map(engine -> new Candidate(engine, Candidate.Source.HINT))
                    .stream();
            Stream<Candidate> prefixHosts =
                    query.sharedPrefixLengths().stream().flatMap(length -> prefixHosts(query, length, engines, costs));
            List<Candidate> hintedAndPrefixHosts = distinctByHost(Stream.concat(hinted, prefixHosts))
                    .limit(MAX_CANDIDATES - 1)
                    .toList();
            return distinctByHost(Stream.concat(hintedAndPrefixHosts.stream(), spare(query, engines)))
                    .toList();
        }

        @Override
        public boolean shouldProbe(RouteQuery query, List<Candidate> candidates) {
            return candidates.size() > 1 && query.tokensFrom(0) >= MIN_PROBED_TOKENS;
        }
    },
    /** The first host in the rendezvous order of the longest shared prefix. */
    RENDEZVOUS {
        @Override
        public List<Candidate> candidates(RouteQuery query, List<ConnectedEngine> engines, RoutingCosts costs) {
            return query.sharedPrefixLengths().stream()
                    .limit(1)
                    .flatMap(length -> Rendezvous.order(query.keyAt(length), engines, 1).stream())
                    .map(RoutingPolicy::policyCandidate)
                    .toList();
        }
    },
    /** The host with the shortest queue. */
    LEAST_LOADED {
        @Override
        public List<Candidate> candidates(RouteQuery query, List<ConnectedEngine> engines, RoutingCosts costs) {
            return engines.stream()
                    .min(Comparator.comparingLong(ConnectedEngine::waitMicros).thenComparing(ConnectedEngine::host))
                    .map(RoutingPolicy::policyCandidate)
                    .stream()
                    .toList();
        }
    },
    /**
     * The host at the position of the query's salt modulo the number of hosts, in the order of their names. The hosts
     * take turns only if the salt increases by 1 with each request.
     */
    ROUND_ROBIN {
        @Override
        public List<Candidate> candidates(RouteQuery query, List<ConnectedEngine> engines, RoutingCosts costs) {
            return pick(engines, query.salt())
                    .map(RoutingPolicy::policyCandidate)
                    .toList();
        }
    },
    /** A pseudo-random host, determined by the query's salt. */
    RANDOM {
        @Override
        public List<Candidate> candidates(RouteQuery query, List<ConnectedEngine> engines, RoutingCosts costs) {
            return pick(engines, mix(query.salt()))
                    .map(RoutingPolicy::policyCandidate)
                    .toList();
        }
    };

    /** The largest number of candidates of one attempt. */
    public static final int MAX_CANDIDATES = 4;

    /** The length of the shortest prompt, in tokens, whose prefill costs more than a probe. */
    public static final int MIN_PROBED_TOKENS = 256;

    private static final int MAX_HOSTS_PER_PREFIX = 3;
    /** 2^64 divided by the golden ratio, which maps consecutive salts to distant numbers. */
    private static final long MIX_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private static final int MIX_SHIFT_BITS = 17;

    // -- queries

    /**
     * Finds the hosts to which an attempt may be sent.
     *
     * @param query the requirements of the attempt
     * @param engines the engines that have loaded the required weights, are up and not leaving, in the order of their
     *     hosts' names
     * @param costs the cost terms
     * @return the candidates, in order of preference; empty only if there are no engines or no blocks
     */
    public abstract List<Candidate> candidates(RouteQuery query, List<ConnectedEngine> engines, RoutingCosts costs);

    /**
     * Returns whether the candidates are probed for their cached blocks.
     *
     * @param query the requirements of the attempt
     * @param candidates the attempt's candidates
     * @return true if a probe is worth its round trip
     */
    public boolean shouldProbe(RouteQuery query, List<Candidate> candidates) {
        return false;
    }

    // -- helpers

    private static Candidate policyCandidate(ConnectedEngine engine) {
        return new Candidate(engine, Candidate.Source.POLICY);
    }

    /**
     * Returns the first host in the rendezvous order of a prefix, and one further host for each whole saturation wait
     * in the first host's estimated wait, up to {@link #MAX_HOSTS_PER_PREFIX} hosts in total.
     */
    private static Stream<Candidate> prefixHosts(
            RouteQuery query, int length, List<ConnectedEngine> engines, RoutingCosts costs) {
        List<ConnectedEngine> order = Rendezvous.order(query.keyAt(length), engines, MAX_HOSTS_PER_PREFIX);
        long saturations = order.isEmpty() ? 0 : order.get(0).waitMicros() / costs.saturationWaitMicros();
        return order.stream()
                .limit(1 + Math.min(saturations, MAX_HOSTS_PER_PREFIX - 1))
                .map(engine -> new Candidate(
                        engine, engine.equals(order.get(0)) ? Candidate.Source.PREFIX : Candidate.Source.REPLICA));
    }

    /**
     * Returns the one with the shorter queue of two pseudo-random hosts, determined by the query's salt. The random
     * choice keeps entries from all choosing the same idle host.
     */
    private static Stream<Candidate> spare(RouteQuery query, List<ConnectedEngine> engines) {
        long salt = mix(query.salt());
        return Stream.concat(pick(engines, salt), pick(engines, mix(salt)))
                .min(Comparator.comparingLong(ConnectedEngine::waitMicros))
                .map(engine -> new Candidate(engine, Candidate.Source.SPARE))
                .stream();
    }

    /** Returns the engine at the position of the salt modulo the number of engines; empty without engines. */
    private static Stream<ConnectedEngine> pick(List<ConnectedEngine> engines, long salt) {
        if (engines.isEmpty()) {
            return Stream.empty();
        }
        return Stream.of(engines.get((int) Math.floorMod(salt, (long) engines.size())));
    }

    private static long mix(long salt) {
        long mixed = (salt + 1) * MIX_MULTIPLIER;
        return mixed ^ (mixed >>> MIX_SHIFT_BITS);
    }

    private static Optional<ConnectedEngine> find(List<ConnectedEngine> engines, String host) {
        return engines.stream().filter(engine -> engine.host().equals(host)).findFirst();
    }

    private static Stream<Candidate> distinctByHost(Stream<Candidate> candidates) {
        Map<String, Candidate> byHost = candidates.collect(Collectors.toMap(
                candidate -> candidate.engine().host(),
                Function.identity(),
                (earlier, later) -> earlier,
                LinkedHashMap::new));
        return byHost.values().stream();
    }
}

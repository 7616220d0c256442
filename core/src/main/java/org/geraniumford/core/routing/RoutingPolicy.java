package org.geraniumford.core.routing;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** How the candidates of a request are found, and whether they are asked what they hold. */
public enum RoutingPolicy {
    /** Rendezvous order of the shared prefixes, the last host served, and probes of what is really cached. */
    PROBE {
        @Override
        public List<Candidate> candidates(RouteQuery query, List<Backend> backends, RoutingCosts costs) {
            Stream<Candidate> hinted = query
                    .hint()
                    .flatMap(hint -> find(backends, hint.host()))
                    .map(backend -> new Candidate(backend, Candidate.Source.HINT))
                    .stream();
            Stream<Candidate> ordered =
                    query.sharedPrefixLengths().stream().flatMap(depth -> replicas(query, depth, backends, costs));
            List<Candidate> probed = distinctByHost(Stream.concat(hinted, ordered))
                    .limit(MAX_CANDIDATES - 1)
                    .toList();
            return distinctByHost(Stream.concat(probed.stream(), spare(query, backends)))
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
        public List<Candidate> candidates(RouteQuery query, List<Backend> backends, RoutingCosts costs) {
            return query.sharedPrefixLengths().stream()
                    .limit(1)
                    .flatMap(depth -> Rendezvous.order(query.keyAt(depth), backends, 1).stream())
                    .map(RoutingPolicy::policyCandidate)
                    .toList();
        }
    },
    /** The host with the shortest queue. */
    LEAST_LOADED {
        @Override
        public List<Candidate> candidates(RouteQuery query, List<Backend> backends, RoutingCosts costs) {
            return backends.stream()
                    .min(Comparator.comparingLong(Backend::waitMicros).thenComparing(Backend::host))
                    .map(RoutingPolicy::policyCandidate)
                    .stream()
                    .toList();
        }
    },
    /** One host after the other, in the order of their names; the query's salt counts up. */
    ROUND_ROBIN {
        @Override
        public List<Candidate> candidates(RouteQuery query, List<Backend> backends, RoutingCosts costs) {
            return pick(backends, query.salt())
                    .map(RoutingPolicy::policyCandidate)
                    .toList();
        }
    },
    /** A host drawn by the query's salt. */
    RANDOM {
        @Override
        public List<Candidate> candidates(RouteQuery query, List<Backend> backends, RoutingCosts costs) {
            return pick(backends, mix(query.salt()))
                    .map(RoutingPolicy::policyCandidate)
                    .toList();
        }
    };

    /** The largest number of hosts that one attempt considers. */
    public static final int MAX_CANDIDATES = 4;

    /** The shortest prompt, in tokens, whose prefill costs more than a probe. */
    public static final int MIN_PROBED_TOKENS = 256;

    private static final int MAX_REPLICAS = 3;
    private static final long MIX_MULTIPLIER = 0x9e3779b97f4a7c15L;
    private static final int MIX_SHIFT_BITS = 17;

    // -- queries

    /**
     * Finds the hosts that may take an attempt.
     *
     * @param query the request
     * @param backends the engines that hold the right weights, up and not leaving, in the order of their hosts' names
     * @param costs the cost terms
     * @return the candidates, most wanted first; empty only if there are no engines or no pieces
     */
    public abstract List<Candidate> candidates(RouteQuery query, List<Backend> backends, RoutingCosts costs);

    /**
     * Says whether the candidates are asked what they hold.
     *
     * @param query the request
     * @param candidates its candidates
     * @return true if a probe is worth its round trip
     */
    public boolean shouldProbe(RouteQuery query, List<Candidate> candidates) {
        return false;
    }

    // -- parts

    private static Candidate policyCandidate(Backend backend) {
        return new Candidate(backend, Candidate.Source.POLICY);
    }

    /** The first hosts of a prefix: one more for each saturation time that the first one's queue is long. */
    private static Stream<Candidate> replicas(RouteQuery query, int depth, List<Backend> backends, RoutingCosts costs) {
        List<Backend> order = Rendezvous.order(query.keyAt(depth), backends, MAX_REPLICAS);
        long busy = order.isEmpty() ? 0 : order.get(0).waitMicros() / costs.saturationWaitMicros();
        return order.stream()
                .limit(1 + Math.min(busy, MAX_REPLICAS - 1))
                .map(backend -> new Candidate(
                        backend, backend.equals(order.get(0)) ? Candidate.Source.PREFIX : Candidate.Source.REPLICA));
    }

    /** The shorter queue of two drawn hosts: it keeps entries from all choosing the same idle one. */
    private static Stream<Candidate> spare(RouteQuery query, List<Backend> backends) {
        long salt = mix(query.salt());
        return Stream.concat(pick(backends, salt), pick(backends, mix(salt)))
                .min(Comparator.comparingLong(Backend::waitMicros))
                .map(backend -> new Candidate(backend, Candidate.Source.SPARE))
                .stream();
    }

    private static Stream<Backend> pick(List<Backend> backends, long number) {
        if (backends.isEmpty()) {
            return Stream.empty();
        }
        return Stream.of(backends.get((int) Math.floorMod(number, (long) backends.size())));
    }

    private static long mix(long number) {
        long mixed = (number + 1) * MIX_MULTIPLIER;
        return mixed ^ (mixed >>> MIX_SHIFT_BITS);
    }

    private static Optional<Backend> find(List<Backend> backends, String host) {
        return backends.stream().filter(backend -> backend.host().equals(host)).findFirst();
    }

    private static Stream<Candidate> distinctByHost(Stream<Candidate> candidates) {
        Map<String, Candidate> first = candidates.collect(Collectors.toMap(
                candidate -> candidate.backend().host(),
                Function.identity(),
                (earlier, later) -> earlier,
                LinkedHashMap::new));
        return first.values().stream();
    }
}

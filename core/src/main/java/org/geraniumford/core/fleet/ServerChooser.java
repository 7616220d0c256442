package org.geraniumford.core.fleet;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.geraniumford.core.prompt.PromptSpec;

/**
 * Chooses the backend server on which a request is expected to get its first token soonest. Every disadvantage of a
 * server is expressed as a cost in milliseconds of waiting. During bursts and rollouts a few servers have lower costs
 * than the others at all entries at once. To avoid overloading them, the cost counts the requests that all entries have
 * in progress, and no advantage outweighs a long queue.
 */
public final class ServerChooser {
    /**
     * How much the delay of other requests counts against that of the request itself. Each running request waits while
     * the engine prefills a new one. Engines with many running requests therefore get short prompts, and long prompts
     * go to engines where few requests wait for them.
     */
    private static final double INTERFERENCE_WEIGHT = 0.1;

    /** The cost of sending one byte to another failure domain. */
    private static final double CROSS_DOMAIN_COST_MS_PER_BYTE = 0.006;

    /** The cost of sending an empty request to another failure domain. */
    private static final double CROSS_DOMAIN_COST_MS = 3;

    /** The cost of a failure rate of 1; the cost grows with the square of the rate. */
    private static final double FAILURE_RATE_COST_MS = 1500;

    /** The cost of weights that are not the newest. */
    private static final double OLD_WEIGHTS_COST_MS = 120;

    /**
     * The cost of each output token for each version by which the weights are behind the newest ones. An engine loads
     * weights only when its running requests have ended, and serves nothing meanwhile. Long responses therefore go to
     * the engines that will load last.
     */
    private static final double OLD_WEIGHTS_COST_MS_PER_OUTPUT_TOKEN = 2;

    /** The cost of a request for which the engine has no free slot or not enough memory beside the running requests. */
    private static final double PREEMPTION_COST_MS = 1000;

    /** The fraction of an engine's memory that running requests may need before some are preempted. */
    private static final double USABLE_MEMORY_FRACTION = 0.85;

    /** The cost of each request without a prompt that must wait because all slots of the server are taken. */
    private static final double WAITING_REQUEST_COST_MS = 60;

    /** The cost reduction for the server that all entries pick by rendezvous hashing to prefill an unsaved segment. */
    private static final double RENDEZVOUS_GAIN_MS = 250;

    /** The upper limit of the random cost that breaks ties. */
    private static final double MAX_TIE_BREAK_MS = 2;

    private final RandomGenerator random;
    private final Map<String, RecentUse> recentUses = new HashMap<>();

    private ServerChooser(RandomGenerator random) {
        this.random = random;
    }

    // -- construction

    /**
     * Creates a chooser.
     *
     * @param random the source of the random costs that break ties
     * @return a new chooser
     */
    public static ServerChooser of(RandomGenerator random) {
        return new ServerChooser(random);
    }

    // -- queries

    /**
     * Chooses a server.
     *
     * @param directory the known servers
     * @param query the request's requirements
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the server with the lowest cost, or the fewest requests if the query prefers that, among those that take
     *     new work, have allowed weights, have not reached their limit and are not excluded; a suspended or loading one
     *     only for a first attempt, if there is no other; empty if there is none
     */
    public Optional<ServerState> choose(ServerDirectory directory, ServerQuery query, long nowNanos) {
        List<Candidate> sendable = sendable(directory, query, nowNanos);
        List<ServerState> available = available(sendable);
        Headroom headroom = headroom(available, query, nowNanos);
        return cheapest(
                        available.stream().filter(state -> OverloadPolicy.hasRoom(state, query, headroom, nowNanos)),
                        query)
                .or(() -> cheapest(available.stream(), query))
                .or(() -> query.excluded().isEmpty()
                        ? cheapest(sendable.stream().map(Candidate::state), query)
                        : Optional.empty());
    }

    /**
     * Returns the servers to which the request may be sent. A server that names a limit is in need, so a request that
     * may burden it more than others do goes there only if there is no other server.
     */
    private static List<Candidate> sendable(ServerDirectory directory, ServerQuery query, long nowNanos) {
        List<Candidate> sendable = candidates(directory, query, nowNanos)
                .filter(candidate -> !candidate.decision().forbidsSending())
                .toList();
        boolean burdening = query.fewestRequests() || !query.excluded().isEmpty();
        List<Candidate> unlimited = sendable.stream()
                .filter(candidate -> !candidate.state().limit().isNamed())
                .filter(Candidate::isAvailable)
                .toList();
        return burdening && !unlimited.isEmpty() ? unlimited : sendable;
    }

    private static List<ServerState> available(List<Candidate> sendable) {
        return sendable.stream()
                .filter(Candidate::isAvailable)
                .map(Candidate::state)
                .toList();
    }

    private static Stream<Candidate> candidates(ServerDirectory directory, ServerQuery query, long nowNanos) {
        return directory.activeServers(query.service()).stream()
                .map(state -> new Candidate(state, SendDecision.of(directory, state, query, nowNanos)));
    }

    /**
     * Returns when a server could be chosen again whose limit is reached now.
     *
     * @param directory the known servers
     * @param query the request's requirements
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the time until the first of the servers has room; empty if no server that could run the request has
     *     reached its limit
     */
    public Optional<Duration> timeUntilWithinLimit(ServerDirectory directory, ServerQuery query, long nowNanos) {
        return candidates(directory, query, nowNanos)
                .filter(candidate -> candidate.decision() == SendDecision.LIMIT_REACHED)
                .map(candidate ->
                        candidate.state().limit().timeUntilRoom(directory.entryShare(), query.yielding(), nowNanos))
                .filter(time -> !time.isZero())
                .min(Comparator.naturalOrder());
    }

    /**
     * Returns when a request may be sent that only servers could run which asked for a pause.
     *
     * @param directory the known servers
     * @param query the request's requirements
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the time until the first pause ends; empty if a server may be sent the request, or none is paused
     */
    public Optional<Duration> timeUntilPauseEnds(ServerDirectory directory, ServerQuery query, long nowNanos) {
        List<Candidate> candidates = candidates(directory, query, nowNanos).toList();
        return candidates.stream().allMatch(candidate -> candidate.decision().forbidsSending())
                ? candidates.stream()
                        .filter(candidate -> candidate.decision() == SendDecision.PAUSED)
                        .map(candidate -> candidate.state().pause().timeLeft(nowNanos))
                        .min(Comparator.naturalOrder())
                : Optional.empty();
    }

    /**
     * Returns the rate at which the entries may send to the servers that could run a request, if all of them name
     * limits.
     *
     * @param directory the known servers
     * @param query the request's requirements
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return the number of requests a second of this entry and the peers that it hears; infinite if a server names no
     *     limit
     */
    public double limitedRate(ServerDirectory directory, ServerQuery query, long nowNanos) {
        return candidates(directory, query, nowNanos)
                .filter(candidate -> candidate.decision() == SendDecision.LIMIT_REACHED
                        || !candidate.decision().forbidsSending())
                .mapToDouble(candidate -> candidate.state().limit().usedRate(directory.entryShare()))
                .sum();
    }

    /**
     * Decides whether a request is admitted, in view of the work that its servers have. More work than they can take
     * would make requests late that are in progress: engines whose memory is full preempt requests and prefill them
     * again, and evict the segments that later requests share.
     *
     * @param directory the known servers
     * @param query the request's requirements
     * @param yielding whether other requests of the same priority go first
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return refused if servers could take the request, but none has room
     */
    public OverloadDecision decideOverload(
            ServerDirectory directory, ServerQuery query, boolean yielding, long nowNanos) {
        boolean plain = query.prompt().isEmpty();
        List<ServerState> considered = sendable(directory, query, nowNanos).stream()
                .filter(candidate -> candidate.isAvailable() || (!plain && candidate.decision() == SendDecision.FULL))
                .map(Candidate::state)
                .toList();
        return OverloadPolicy.decide(
                considered,
                query,
                headroom(considered, query, nowNanos),
                yielding,
                directory.entryShare().heardPeers() + 1,
                nowNanos);
    }

    private Headroom headroom(List<ServerState> servers, ServerQuery query, long nowNanos) {
        if (query.prompt().isEmpty()) {
            return Headroom.NONE;
        }
        RecentUse use = recentUses.computeIfAbsent(query.service(), service -> RecentUse.none(nowNanos));
        use.record(servers.stream().map(ServerState::totalLoad).toList(), nowNanos);
        return use.headroom(query.priority());
    }

    private Optional<ServerState> cheapest(Stream<ServerState> servers, ServerQuery query) {
        List<ServerState> candidates = servers.toList();
        ReferenceSpeed reference = ReferenceSpeed.of(candidates);
        Optional<ServerState> preferred = rendezvousServer(candidates, query);
        return candidates.stream()
                .map(state ->
                        new ScoredServer(state, cost(state, query, reference) + random.nextDouble() * MAX_TIE_BREAK_MS))
                .map(scored ->
                        scored.withGain(preferred.filter(scored.state()::equals).isPresent() ? RENDEZVOUS_GAIN_MS : 0))
                .min(byPreference(query))
                .map(ScoredServer::state);
    }

    private static Comparator<ScoredServer> byPreference(ServerQuery query) {
        Comparator<ScoredServer> byCost = Comparator.comparingDouble(ScoredServer::costMs);
        return query.fewestRequests()
                ? Comparator.<ScoredServer>comparingInt(
                                scored -> scored.state().totalLoad().running())
                        .thenComparing(byCost)
                : byCost;
    }

    /** Returns the cost in milliseconds, without the rendezvous gain and the random cost that breaks ties. */
    private static double cost(ServerState state, ServerQuery query, ReferenceSpeed reference) {
        boolean sameDomain = state.server().failureDomain().equals(query.failureDomain());
        double distanceCostMs =
                sameDomain ? 0 : CROSS_DOMAIN_COST_MS + CROSS_DOMAIN_COST_MS_PER_BYTE * query.requestBytes();
        return distanceCostMs
                + FAILURE_RATE_COST_MS * state.failureRate() * state.failureRate()
                + query.prompt()
                        .map(scoped -> engineCost(state, query, scoped, reference))
                        .orElseGet(() -> plainServiceCost(state, reference));
    }

    /**
     * Returns 1 ms for each running request, what the server is slower than others, and the wait of the requests above
     * the number of slots: a turn of a slot for each if the server's time per request is known.
     */
    private static double plainServiceCost(ServerState state, ReferenceSpeed reference) {
        int running = state.totalLoad().running();
        int slots = Math.max(1, state.server().slots());
        // The request itself counts as well.
        int waiting = Math.max(0, running + 1 - state.server().slots());
        OptionalDouble requestMs = state.speed().requestMs();
        double waitMs = requestMs.isPresent() ? requestMs.getAsDouble() / slots : WAITING_REQUEST_COST_MS;
        return running + reference.requestCostMs(state.speed()) + waitMs * waiting;
    }

    private static double engineCost(
            ServerState state, ServerQuery query, ScopedPrompt scoped, ReferenceSpeed reference) {
        ServerLoad load = state.totalLoad();
        PromptSpec prompt = scoped.prompt();
        long prefillTokens = state.estimatedPrefillTokens(scoped, query.fetchable());
        int versionsBehind = query.newestWeightsVersion()
                - state.weightsVersion(prompt.model()).orElse(0);
        boolean isFull = load.running() >= state.server().slots()
                || load.reservedTokens() + prompt.totalTokens() > USABLE_MEMORY_FRACTION * state.kvCapacityTokens();
        double prefillMs = reference.prefillCostMs(state.speed(), prefillTokens, query.targetLatency());
        return state.prefillWait(query.priority()).toMillis()
                + prefillMs
                + INTERFERENCE_WEIGHT * prefillMs * load.running()
                + reference.runningCostMs() * load.running()
                + (versionsBehind > 0 ? OLD_WEIGHTS_COST_MS : 0)
                + OLD_WEIGHTS_COST_MS_PER_OUTPUT_TOKEN * versionsBehind * prompt.maxOutputTokens()
                + (isFull ? PREEMPTION_COST_MS : 0);
    }

    /**
     * Finds the server that prefills the request's first unsaved segment for all entries. Entries find the same server
     * if the same servers are available to them.
     */
    private static Optional<ServerState> rendezvousServer(List<ServerState> candidates, ServerQuery query) {
        if (query.prompt().isEmpty() || query.firstUnsavedSegment().isEmpty()) {
            return Optional.empty();
        }
        String model = query.prompt().get().prompt().model();
        long segmentKey = query.firstUnsavedSegment().getAsLong();
        return candidates.stream()
                .filter(state -> !state.limit().isNamed())
                .filter(state -> state.weightsVersion(model).orElse(0) >= query.newestWeightsVersion())
                .max(Comparator.comparingLong(
                        state -> score(segmentKey, state.server().id())));
    }

    private static long score(long segmentKey, String serverId) {
        return Hashing.xxh3_64()
                .hashStream()
                .putLong(segmentKey)
                .putString(serverId)
                .getAsLong();
    }

    private record Candidate(ServerState state, SendDecision decision) {
        boolean isAvailable() {
            return decision == SendDecision.SEND;
        }
    }

    private record ScoredServer(ServerState state, double costMs) {
        ScoredServer withGain(double gainMs) {
            return new ScoredServer(state, costMs - gainMs);
        }
    }
}

package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.geraniumford.core.limits.EntryShare;
import org.geraniumford.core.service.EngineSpec;

/**
 * The backend servers known to an entry, with the state of each. A server that was observed leaving takes no new work
 * for the rest of its incarnation. After an outage of the server list, servers missing from it are kept for a short
 * time, because live servers register again. Not thread-safe.
 */
public final class ServerDirectory {
    /** How long after an outage of the server list a missing server is kept; shorter than any drain timeout. */
    public static final Duration REREGISTRATION_GRACE = Duration.ofMillis(1700);

    /**
     * How long after its removal peers are told that a server left. One that starts may read a list of before, which
     * the store has come back with.
     */
    private static final Duration DEPARTURE_MEMORY = Duration.ofSeconds(60);

    private final Map<String, ServerState> byId = new LinkedHashMap<>();
    private final Map<String, PeerLoads> peerLoads = new HashMap<>();
    private final Map<String, Long> missingSinceNanos = new HashMap<>();
    private final Map<String, Long> leavingIncarnations = new HashMap<>();
    /** The servers that left and are no longer listed, and when they were removed. */
    private final Map<LeavingServer, Long> departedNanos = new HashMap<>();

    /** The servers that are no longer listed, but asked for a pause that still matters. */
    private final Map<String, ServerState> removedInPause = new HashMap<>();

    private final Function<String, Optional<EngineSpec>> engineSpecs;
    private EntryShare entryShare = EntryShare.unknown();
    private long outageEndNanos;
    private boolean outageSeen;

    private ServerDirectory(Function<String, Optional<EngineSpec>> engineSpecs) {
        this.engineSpecs = engineSpecs;
    }

    // -- construction

    /**
     * Creates a directory without servers.
     *
     * @param engineSpecs returns the engine spec of a service by the service's name; empty if it is unknown or the
     *     service is a plain one
     * @return an empty directory
     */
    public static ServerDirectory empty(Function<String, Optional<EngineSpec>> engineSpecs) {
        return new ServerDirectory(engineSpecs);
    }

    // -- queries

    /**
     * Finds a server.
     *
     * @param id the server's name
     * @return the server's state, or empty if the server is unknown
     */
    public Optional<ServerState> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Returns the servers of a service that take new work.
     *
     * @param service the name of the service
     * @return the servers in the order in which they were first listed
     */
    public List<ServerState> activeServers(String service) {
        return byId.values().stream()
                .filter(state -> !state.server().leaving())
                .filter(state -> state.server().service().equals(service))
                .toList();
    }

    /**
     * Returns all known servers.
     *
     * @return the servers, including those that are leaving
     */
    public Collection<ServerState> all() {
        return List.copyOf(byId.values());
    }

    /**
     * Returns the servers that were observed leaving.
     *
     * @param complete whether to include those that were listed up to a minute ago
     * @return the name and incarnation of each leaving server
     */
    public List<LeavingServer> leavingServers(boolean complete) {
        Stream<LeavingServer> leaving = byId.values().stream()
                .map(ServerState::server)
                .filter(BackendServer::leaving)
                .map(ServerDirectory::departure);
        Stream<LeavingServer> departed = complete ? departedNanos.keySet().stream() : Stream.empty();
        return Stream.concat(leaving, departed).distinct().toList();
    }

    private static LeavingServer departure(BackendServer server) {
        return new LeavingServer(server.id(), server.incarnation());
    }

    /**
     * Returns how many of the entries that share the servers' limits this entry hears.
     *
     * @return the share as last updated
     */
    public EntryShare entryShare() {
        return entryShare;
    }

    /**
     * Returns the entry's own load at each server.
     *
     * @return the loads of the servers at which this entry has requests in progress
     */
    public List<ServerLoad> localLoads() {
        return byId.values().stream()
                .map(ServerState::localLoad)
                .filter(load -> load.running() > 0)
                .toList();
    }

    /**
     * Returns the segments prefilled for this entry that are still to be announced to the peers.
     *
     * @return the segments since the last {@link #markAnnounced}, by server
     */
    public List<PrefilledSegments> unannouncedPrefills() {
        return byId.values().stream()
                .filter(state -> !state.cache().unannounced().isEmpty())
                .map(state ->
                        new PrefilledSegments(state.server().id(), state.cache().unannounced()))
                .toList();
    }

    // -- commands

    /**
     * Records how many of the entries that share the servers' limits this entry hears.
     *
     * @param share the new share
     */
    public void updateEntryShare(EntryShare share) {
        entryShare = requireNonNull(share, "share is null");
    }

    /** Reads the engine specs of all servers again, because a new configuration may have added or changed them. */
    public void refreshEngineSpecs() {
        byId.values()
                .forEach(state ->
                        state.applyEngineSpec(engineSpecs.apply(state.server().service())));
    }

    /** Records that the segments of {@link #unannouncedPrefills} were sent to the peers. */
    public void markAnnounced() {
        byId.values().forEach(state -> state.cache().markAnnounced());
    }

    /**
     * Adds the segments that servers recently prefilled for a peer.
     *
     * @param prefills the segments, by server; unknown servers are ignored
     */
    public void applyGossip(List<PrefilledSegments> prefills) {
        prefills.forEach(prefilled ->
                find(prefilled.server()).ifPresent(state -> state.cache().applyGossip(prefilled.segments())));
    }

    /**
     * Forgets a peer's loads at all servers.
     *
     * @param peer the peer's name
     */
    public void removePeer(String peer) {
        peerLoads.values().forEach(loads -> loads.remove(peer));
        peerLoads.entrySet().removeIf(entry -> entry.getValue().isEmpty() && !byId.containsKey(entry.getKey()));
    }

    /**
     * Updates a peer's loads.
     *
     * @param peer the peer's name
     * @param complete whether the peer has no load at servers without an element in the list
     * @param loads the peer's loads, also at servers that this entry does not know yet
     */
    public void applyGossip(String peer, boolean complete, List<ServerLoad> loads) {
        if (complete) {
            removePeer(peer);
        }
        loads.forEach(load -> peerLoads(load.server()).update(peer, load));
    }

    private PeerLoads peerLoads(String server) {
        return peerLoads.computeIfAbsent(server, PeerLoads::empty);
    }

    /**
     * Marks a server as leaving. If it is not listed now, it is marked once it is listed under the same incarnation.
     *
     * @param leaving the server that leaves
     * @return true if the server is listed under this incarnation and was not known to leave
     */
    public boolean markLeaving(LeavingServer leaving) {
        leavingIncarnations.merge(leaving.server(), leaving.incarnation(), Math::max);
        Optional<BackendServer> listed = find(leaving.server())
                .map(ServerState::server)
                .filter(server -> server.incarnation() == leaving.incarnation() && !server.leaving());
        listed.ifPresent(server -> register(server.asLeaving()));
        return listed.isPresent();
    }

    /**
     * Applies a server's listing. Ignores a listing of an earlier incarnation. If the incarnation was observed leaving,
     * also ignores a listing that is not marked as leaving.
     *
     * @param server the server, as described by its own listing
     */
    public void register(BackendServer server) {
        Long leftIncarnation = leavingIncarnations.get(server.id());
        if (leftIncarnation != null && server.incarnation() <= leftIncarnation && !server.leaving()) {
            return;
        }
        missingSinceNanos.remove(server.id());
        ServerState known = byId.get(server.id());
        if (known != null && server.incarnation() < known.server().incarnation()) {
            return;
        }
        if (server.leaving()) {
            leavingIncarnations.put(server.id(), server.incarnation());
        }
        if (known != null && server.incarnation() == known.server().incarnation()) {
            known.updateServer(server);
        } else {
            Optional<EngineSpec> engineSpec = engineSpecs.apply(server.service());
            ServerState state = ServerState.of(server, engineSpec, peerLoads(server.id()));
            Optional.ofNullable(removedInPause.remove(server.id()))
                    .filter(earlier -> earlier.server().incarnation() == server.incarnation())
                    .ifPresent(state::takePause);
            byId.put(server.id(), state);
        }
    }

    /**
     * Applies the removal of a listing. Within {@link #REREGISTRATION_GRACE} after the end of an outage, the server is
     * kept until {@link #expire} removes it, since it may register again.
     *
     * @param id the server's name
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void deregister(String id, long nowNanos) {
        if (outageSeen && nowNanos - outageEndNanos < REREGISTRATION_GRACE.toNanos()) {
            if (byId.containsKey(id)) {
                missingSinceNanos.putIfAbsent(id, nowNanos);
            }
        } else {
            remove(id, nowNanos);
            missingSinceNanos.remove(id);
        }
    }

    private void remove(String id, long nowNanos) {
        ServerState removed = byId.remove(id);
        if (removed != null && removed.server().leaving()) {
            departedNanos.put(departure(removed.server()), nowNanos);
        }
        if (removed != null && removed.pause().isRemembered(nowNanos)) {
            removedInPause.put(id, removed);
        }
    }

    /**
     * Applies the complete server list; servers missing from it are removed as by {@link #deregister}.
     *
     * @param servers all listed servers
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void replaceAll(Collection<BackendServer> servers, long nowNanos) {
        Set<String> listedIds = new HashSet<>();
        servers.forEach(server -> listedIds.add(server.id()));
        new ArrayList<>(byId.keySet())
                .stream().filter(id -> !listedIds.contains(id)).forEach(id -> deregister(id, nowNanos));
        servers.forEach(this::register);
    }

    /**
     * Records that the server list can be read again after an outage.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordOutageEnd(long nowNanos) {
        outageSeen = true;
        outageEndNanos = nowNanos;
    }

    /**
     * Removes the servers that are still missing from the list when {@link #REREGISTRATION_GRACE} has passed since the
     * end of the outage.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void expire(long nowNanos) {
        if (!missingSinceNanos.isEmpty() && nowNanos - outageEndNanos >= REREGISTRATION_GRACE.toNanos()) {
            missingSinceNanos.keySet().forEach(id -> remove(id, nowNanos));
            missingSinceNanos.clear();
        }
        removedInPause.values().removeIf(state -> !state.pause().isRemembered(nowNanos));
        departedNanos.values().removeIf(removedNanos -> nowNanos - removedNanos >= DEPARTURE_MEMORY.toNanos());
    }
}

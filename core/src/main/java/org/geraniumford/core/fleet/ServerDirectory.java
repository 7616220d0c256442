package org.geraniumford.core.fleet;

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
import org.geraniumford.core.service.EngineSpec;

/**
 * The backend servers that an entry believes in. A server that was seen leaving stays out for the rest of its
 * incarnation. After an outage of the list, servers that are missing from it are kept for a short while, since live
 * ones register again. Not thread-safe.
 */
public final class ServerDirectory {
    /** How long a server that is missing after an outage is still believed in; less than any drain bound. */
    public static final Duration REREGISTRATION_GRACE = Duration.ofMillis(1700);

    private final Map<String, ServerState> byId = new LinkedHashMap<>();
    private final Map<String, Long> missingSinceNanos = new HashMap<>();
    private final Map<String, Long> leavingIncarnations = new HashMap<>();
    private final Function<String, Optional<EngineSpec>> engineSpecs;
    private long outageEndNanos;
    private boolean outageSeen;

    private ServerDirectory(Function<String, Optional<EngineSpec>> shapes) {
        this.engineSpecs = shapes;
    }

    // -- construction

    /**
     * Creates a directory without servers.
     *
     * @param shapes finds the engine size of a service by its name
     * @return an empty directory
     */
    public static ServerDirectory empty(Function<String, Optional<EngineSpec>> shapes) {
        return new ServerDirectory(shapes);
    }

    // -- queries

    /**
     * Finds a server.
     *
     * @param id its name
     * @return what is believed of it, or empty if it is not believed in
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
     * Returns every server.
     *
     * @return the servers, leaving ones included
     */
    public Collection<ServerState> all() {
        return List.copyOf(byId.values());
    }

    /**
     * Returns the servers that were seen leaving.
     *
     * @return name and incarnation of each one that is still known
     */
    public List<LeavingServer> leavingServers() {
        return byId.values().stream()
                .map(ServerState::server)
                .filter(BackendServer::leaving)
                .map(server -> new LeavingServer(server.id(), server.incarnation()))
                .toList();
    }

    /**
     * Returns the own load on every server that is not idle.
     *
     * @return the loads
     */
    public List<ServerLoad> localLoads() {
        return byId.values().stream()
                .map(ServerState::localLoad)
                .filter(load -> load.running() > 0)
                .toList();
    }

    /**
     * Returns what the servers lately read for this entry.
     *
     * @return the parts since the last {@link #markAnnounced}, by server
     */
    public List<PrefilledSegments> unannouncedPrefills() {
        return byId.values().stream()
                .filter(state -> !state.cache().unannounced().isEmpty())
                .map(state ->
                        new PrefilledSegments(state.server().id(), state.cache().unannounced()))
                .toList();
    }

    // -- commands

    /** Notes that the sizes of engines may have become known or changed. */
    public void refreshEngineSpecs() {
        byId.values()
                .forEach(state ->
                        state.applyEngineSpec(engineSpecs.apply(state.server().service())));
    }

    /** Notes that peers were told of the fresh reads. */
    public void markAnnounced() {
        byId.values().forEach(state -> state.cache().markAnnounced());
    }

    /**
     * Takes what servers lately read for a peer.
     *
     * @param reads the parts by server
     */
    public void applyGossip(List<PrefilledSegments> reads) {
        reads.forEach(
                read -> find(read.server()).ifPresent(state -> state.cache().applyGossip(read.segments())));
    }

    /**
     * Takes a peer's loads in place of what it told before.
     *
     * @param peer the peer's name
     * @param loads its loads; servers that are missing are idle
     */
    public void applyGossip(String peer, List<ServerLoad> loads) {
        byId.values().forEach(state -> state.removePeerLoad(peer));
        loads.forEach(load -> find(load.server()).ifPresent(state -> state.updatePeerLoad(peer, load)));
    }

    /**
     * Takes notice that a server leaves.
     *
     * @param leaving the server
     */
    public void markLeaving(LeavingServer leaving) {
        find(leaving.server())
                .map(ServerState::server)
                .filter(server -> server.incarnation() == leaving.incarnation() && !server.leaving())
                .ifPresent(server -> register(server.asLeaving()));
    }

    /**
     * Takes a listing.
     *
     * @param server a server as it lists itself
     */
    public void register(BackendServer server) {
        Long left = leavingIncarnations.get(server.id());
        if (left != null && server.incarnation() <= left && !server.leaving()) {
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
            byId.put(server.id(), ServerState.of(server, engineSpecs.apply(server.service())));
        }
    }

    /**
     * Takes the removal of a listing.
     *
     * @param id the server's name
     * @param nowNanos the time
     */
    public void deregister(String id, long nowNanos) {
        if (outageSeen && nowNanos - outageEndNanos < REREGISTRATION_GRACE.toNanos()) {
            if (byId.containsKey(id)) {
                missingSinceNanos.putIfAbsent(id, nowNanos);
            }
        } else {
            byId.remove(id);
            missingSinceNanos.remove(id);
        }
    }

    /**
     * Takes the whole list.
     *
     * @param servers every server that is listed
     * @param nowNanos the time
     */
    public void replaceAll(Collection<BackendServer> servers, long nowNanos) {
        Set<String> listed = new HashSet<>();
        servers.forEach(server -> listed.add(server.id()));
        new ArrayList<>(byId.keySet())
                .stream().filter(id -> !listed.contains(id)).forEach(id -> deregister(id, nowNanos));
        servers.forEach(this::register);
    }

    /**
     * Notes that the list can be read again after an outage.
     *
     * @param nowNanos the time
     */
    public void recordOutageEnd(long nowNanos) {
        outageSeen = true;
        outageEndNanos = nowNanos;
    }

    /**
     * Drops the servers that have been missing for longer than {@link #REREGISTRATION_GRACE} since the outage ended.
     *
     * @param nowNanos the time
     */
    public void expire(long nowNanos) {
        if (!missingSinceNanos.isEmpty() && nowNanos - outageEndNanos >= REREGISTRATION_GRACE.toNanos()) {
            missingSinceNanos.keySet().forEach(byId::remove);
            missingSinceNanos.clear();
        }
    }
}

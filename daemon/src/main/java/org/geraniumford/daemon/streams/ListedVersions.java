package org.geraniumford.daemon.streams;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumford.core.fleet.BackendServer;
import org.geraniumford.core.fleet.ServerDirectory;

/** The versions of software that the entry's list of servers names, and how old that list is. Not thread-safe. */
final class ListedVersions {
    /** How long a version may be missing from the list of servers, which is read again after outages. */
    private static final Duration MISSING_TIME = Duration.ofSeconds(2);

    private record ServiceVersion(String service, String version) {}

    private final ServerDirectory directory;

    /** When each version was seen in the list last, in milliseconds of the clock that all entries share. */
    private final Map<ServiceVersion, Long> seenMillis = new HashMap<>();

    /** The time of the store's clock up to which the list of servers is known; empty before its first read. */
    private OptionalLong listMillis = OptionalLong.empty();

    ListedVersions(ServerDirectory directory) {
        this.directory = directory;
    }

    // -- queries

    boolean isEmpty() {
        return seenMillis.isEmpty();
    }

    /** Returns the versions of each service. */
    Map<String, Set<String>> byService() {
        Map<String, Set<String>> versions = new HashMap<>();
        seenMillis
                .keySet()
                .forEach(key -> versions.computeIfAbsent(key.service(), service -> new HashSet<>())
                        .add(key.version()));
        return versions;
    }

    /** Returns how much older the list is than a time of the store's clock; 0 if it is not older. */
    OptionalLong ageMillis(long storeMillis) {
        return listMillis.stream()
                .map(millis -> Math.max(0, storeMillis - millis))
                .findFirst();
    }

    /** Returns whether the list is known to have been the same, or read, after a time of the store's clock. */
    boolean isKnownAfter(long storeMillis) {
        return listMillis.stream().anyMatch(millis -> millis > storeMillis);
    }

    // -- commands

    /** Records up to which time of the store's clock the list is known. */
    void recordListRead(long storeMillis) {
        listMillis = OptionalLong.of(Math.max(storeMillis, listMillis.orElse(storeMillis)));
    }

    /** Looks at the list. */
    void look(long nowMillis) {
        directory.all().forEach(state -> seenMillis.put(key(state.server()), nowMillis));
        seenMillis.values().removeIf(lastMillis -> nowMillis - lastMillis > MISSING_TIME.toMillis());
    }

    private static ServiceVersion key(BackendServer server) {
        return new ServiceVersion(server.service(), server.softwareVersion());
    }
}

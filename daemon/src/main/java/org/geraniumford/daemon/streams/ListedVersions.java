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

    /** How long after it was recorded a version is in what every entry reads, which may hold for 250 ms. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(300);

    private record ServiceVersion(String service, String version) {}

    /**
     * Since when a version is listed, in milliseconds of the clock that all entries share.
     *
     * @param firstMillis when it was seen first
     * @param seenMillis when it was seen last
     * @param recordedMillis since when the store's row is known to have it; empty if it is not
     */
    private record Listing(long firstMillis, long seenMillis, OptionalLong recordedMillis) {
        static Listing of(long nowMillis) {
            return new Listing(nowMillis, nowMillis, OptionalLong.empty());
        }

        Listing seenAt(long nowMillis) {
            return new Listing(firstMillis, nowMillis, recordedMillis);
        }

        Listing recordedAt(long nowMillis) {
            return recordedMillis.isPresent() ? this : new Listing(firstMillis, seenMillis, OptionalLong.of(nowMillis));
        }

        /** The row does not have it: it never did, or another entry has ended it. */
        Listing missedAt(long nowMillis) {
            return recordedMillis.isPresent() ? of(nowMillis) : this;
        }
    }

    private final ServerDirectory directory;
    private final Map<ServiceVersion, Listing> listings = new HashMap<>();

    /** The time of the store's clock up to which the list of servers is known; empty before its first read. */
    private OptionalLong listMillis = OptionalLong.empty();

    ListedVersions(ServerDirectory directory) {
        this.directory = directory;
    }

    // -- queries

    boolean isEmpty() {
        return listings.isEmpty();
    }

    /** Returns the versions of each service. */
    Map<String, Set<String>> byService() {
        Map<String, Set<String>> versions = new HashMap<>();
        listings.keySet()
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

    /** Returns whether the store's row is not known to have one of the versions. */
    boolean hasUnrecorded() {
        return listings.values().stream()
                .anyMatch(listing -> listing.recordedMillis().isEmpty());
    }

    /**
     * Returns whether every entry whose list is recent enough to tell an only version knows of a version, from the
     * store's row or from its list.
     */
    boolean isKnownToAll(String service, String version, long nowMillis, Duration maxListAge) {
        Listing listing = listings.get(new ServiceVersion(service, version));
        if (listing == null) {
            return false;
        }
        long recordedMillis = listing.recordedMillis().orElse(Long.MAX_VALUE);
        long inListsMillis = listing.firstMillis() + maxListAge.toMillis();
        return nowMillis - Math.min(recordedMillis, inListsMillis) >= SETTLING_TIME.toMillis();
    }

    // -- commands

    /**
     * Records up to which time of the store's clock the list is known. What was known of the versions before a long gap
     * is forgotten: each may have been ended in the store's row and listed again.
     */
    void recordListRead(long storeMillis, long nowMillis) {
        if (ageMillis(storeMillis).orElse(0) > SoftwareWatch.USE_AFTER_END.toMillis()) {
            listings.replaceAll((key, listing) -> Listing.of(nowMillis));
        }
        listMillis = OptionalLong.of(Math.max(storeMillis, listMillis.orElse(storeMillis)));
    }

    /** Looks at the list. */
    void look(long nowMillis) {
        directory
                .all()
                .forEach(state -> listings.merge(
                        key(state.server()), Listing.of(nowMillis), (known, now) -> known.seenAt(nowMillis)));
        listings.values().removeIf(listing -> nowMillis - listing.seenMillis() > MISSING_TIME.toMillis());
    }

    /** Records which versions the store's row has, as it was just read or written. */
    void recordRow(Map<String, Set<String>> openVersions, long nowMillis) {
        listings.replaceAll((key, listing) ->
                openVersions.getOrDefault(key.service(), Set.of()).contains(key.version())
                        ? listing.recordedAt(nowMillis)
                        : listing.missedAt(nowMillis));
    }

    private static ServiceVersion key(BackendServer server) {
        return new ServiceVersion(server.service(), server.softwareVersion());
    }
}

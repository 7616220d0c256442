package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.geraniumford.core.service.CacheStore;

/**
 * The cache stores of a deployment and the shared prompt segments that are saved in them. Rendezvous hashing assigns
 * each shared prefix to one of the available stores, the same at all entries. Together, the stores therefore hold as
 * many segments as their capacities add up to, and each carries a part of the transfers. Not thread-safe.
 */
public final class CacheStores {
    private static final Hasher64 HASHER = Hashing.wyhashFinal4();

    private final SavedSegments savedSegments = SavedSegments.empty();
    private final Set<String> unavailableAddresses = new HashSet<>();
    private List<CacheStore> configuredStores = List.of();

    private CacheStores() {}

    // -- construction

    /**
     * Creates an object without stores.
     *
     * @return no stores and no saved segments
     */
    public static CacheStores empty() {
        return new CacheStores();
    }

    // -- queries

    /**
     * Finds the store that keeps a shared prefix.
     *
     * @param sharedSegments the prompt's shared segments, in order
     * @return the store; empty if none is available or the prompt has no shared segments
     */
    public Optional<CacheStore> storeOf(List<ScopedSegment> sharedSegments) {
        if (sharedSegments.isEmpty()) {
            return Optional.empty();
        }
        long prefixKey = sharedSegments.get(sharedSegments.size() - 1).key();
        return configuredStores.stream()
                .filter(store -> !unavailableAddresses.contains(store.address()))
                .max(Comparator.comparingLong(store -> keyAt(store.address(), prefixKey)));
    }

    /**
     * Returns whether engines can fetch a shared prefix.
     *
     * @param sharedSegments the prompt's shared segments, in order
     * @return true if the prefix has a store and all its segments are known to be saved there
     */
    public boolean isFetchable(List<ScopedSegment> sharedSegments) {
        return storeOf(sharedSegments).isPresent()
                && firstUnsaved(sharedSegments).isEmpty();
    }

    /**
     * Finds the first shared segment that is not known to be saved in the prefix's store.
     *
     * @param sharedSegments the prompt's shared segments, in order
     * @return a key of the segment at this store, the same at all entries; empty if all segments are known to be saved
     *     or the prefix has no store
     */
    public OptionalLong firstUnsaved(List<ScopedSegment> sharedSegments) {
        return storeOf(sharedSegments)
                .map(store -> savedSegments.firstUnsaved(segmentsAt(store.address(), sharedSegments)))
                .orElse(OptionalLong.empty());
    }

    /**
     * Returns whether a prompt's shared segments should be saved in the prefix's store.
     *
     * @param sharedSegments the prompt's shared segments, in order
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @return true if one of them is not known to have been saved there in the last 20 s; false without a store
     */
    public boolean isSaveDue(List<ScopedSegment> sharedSegments, long nowNanos) {
        return storeOf(sharedSegments)
                .filter(store -> savedSegments.isSaveDue(segmentsAt(store.address(), sharedSegments), nowNanos))
                .isPresent();
    }

    /**
     * Returns the segments known to be saved, by their keys at the stores, which entries announce to each other.
     *
     * @return the segments, which change over time
     */
    public SavedSegments savedSegments() {
        return savedSegments;
    }

    // -- commands

    /**
     * Replaces the configured stores.
     *
     * @param stores the stores of the configuration in force
     */
    public void configure(Collection<CacheStore> stores) {
        configuredStores = List.copyOf(requireNonNull(stores, "stores is null"));
    }

    /**
     * Records whether a store is available. All known segments are cleared whenever this changes, because a store that
     * was lost may come back empty.
     *
     * @param address the store's address
     * @param available true if the store accepts connections
     * @return true if this was not known before
     */
    public boolean setAvailable(String address, boolean available) {
        boolean changed = available ? unavailableAddresses.remove(address) : unavailableAddresses.add(address);
        if (changed) {
            savedSegments.clear();
        }
        return changed;
    }

    /**
     * Records that an engine has prefilled a prompt for this entry and saved its shared segments.
     *
     * @param address the address of the store in which they were saved
     * @param sharedSegments the prompt's shared segments
     * @param nowNanos the current time, from {@link System#nanoTime}
     */
    public void recordSaved(String address, List<ScopedSegment> sharedSegments, long nowNanos) {
        savedSegments.recordSaved(segmentsAt(address, sharedSegments), nowNanos);
    }

    // -- keys

    /** Returns the segments with keys that differ for each store, because prefixes that share a segment may not. */
    private static List<ScopedSegment> segmentsAt(String address, List<ScopedSegment> segments) {
        return segments.stream()
                .map(segment -> new ScopedSegment(keyAt(address, segment.key()), segment.tokens()))
                .toList();
    }

    private static long keyAt(String address, long segmentKey) {
        return HASHER.hashLongLongToLong(segmentKey, HASHER.hashCharsToLong(address));
    }
}

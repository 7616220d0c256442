package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * When the versions of one model's weights were named. It answers engines that come back after a long absence with
 * weights that were replaced meanwhile: they get no request before they have loaded newer ones. It answers also entries
 * that start amid a rollout: a version that was named before the start may be as old as the bound. Not thread-safe.
 */
public final class WeightsHistory {
    private static final int MAX_VERSIONS = 64;

    /**
     * How long older weights may be used after an entry found a version that was named before it started. The sheets'
     * contact_ms of 3,000 counts from the start of the process, which takes up to 1.5 s until it has read the store.
     */
    private static final Duration MAX_INITIAL_STALENESS = Duration.ofSeconds(1);

    /** How many versions of a rollout are worth telling to an entry that has just started. */
    private static final int MAX_GOSSIP_VERSIONS = 4;

    private final TreeMap<Integer, Long> publishedNanos = new TreeMap<>();
    private int initialVersion;
    private long initialNanos;

    private WeightsHistory() {}

    // -- construction

    /**
     * Creates a history without versions.
     *
     * @return an empty history
     */
    public static WeightsHistory empty() {
        return new WeightsHistory();
    }

    // -- queries

    /**
     * Returns the newest version.
     *
     * @return the version; 0 if none was named
     */
    public int newest() {
        return publishedNanos.isEmpty() ? initialVersion : Math.max(initialVersion, publishedNanos.lastKey());
    }

    /**
     * Returns what another entry needs to know in order to avoid old weights as this one does.
     *
     * @param model the model's name
     * @param nowNanos the time
     * @return the newest versions whose naming was witnessed, and the one that was found at the start if none is newer
     */
    public List<PublishedWeights> gossip(String model, long nowNanos) {
        Stream<PublishedWeights> found = Stream.of(initialVersion)
                .filter(version -> version > 0 && version == newest() && !publishedNanos.containsKey(version))
                .map(version -> new PublishedWeights(model, version, millis(nowNanos - initialNanos), false));
        Stream<PublishedWeights> witnessed = publishedNanos.descendingMap().entrySet().stream()
                .limit(MAX_GOSSIP_VERSIONS)
                .map(named -> new PublishedWeights(model, named.getKey(), millis(nowNanos - named.getValue()), true));
        return Stream.concat(witnessed, found).toList();
    }

    private static long millis(long nanos) {
        return Duration.ofNanos(nanos).toMillis();
    }

    /**
     * Returns the oldest version on which a request may still begin.
     *
     * @param bound how long older weights may be used after a version was named
     * @param nowNanos the time
     * @return the newest version that was named, or may have been named, longer ago than the bound; 0 if there is none
     */
    public int oldestAllowed(Duration bound, long nowNanos) {
        int witnessed = publishedNanos.entrySet().stream()
                .filter(named -> nowNanos - named.getValue() > bound.toNanos())
                .mapToInt(Map.Entry::getKey)
                .max()
                .orElse(0);
        boolean foundLongAgo = nowNanos - initialNanos > MAX_INITIAL_STALENESS.toNanos();
        return foundLongAgo ? Math.max(witnessed, newestOfUnknownAge()) : witnessed;
    }

    /** All versions up to the one that was found were named before it, but only those told by peers have a time. */
    private int newestOfUnknownAge() {
        return IntStream.iterate(initialVersion, version -> version - 1)
                .dropWhile(publishedNanos::containsKey)
                .findFirst()
                .orElse(0);
    }

    private boolean isEmpty() {
        return initialVersion == 0 && publishedNanos.isEmpty();
    }

    // -- commands

    /**
     * Takes a version that was named at a known time; the earliest time that is heard of stands.
     *
     * @param version the version
     * @param atNanos when it was named
     * @param nowNanos the time
     */
    public void recordPublished(int version, long atNanos, long nowNanos) {
        if (isEmpty()) {
            initialVersion = version - 1;
            initialNanos = nowNanos;
        }
        publishedNanos.merge(version, atNanos, (known, told) -> known - told < 0 ? known : told);
        while (publishedNanos.size() > MAX_VERSIONS) {
            publishedNanos.remove(requireNonNull(publishedNanos.firstKey()));
        }
    }

    /**
     * Takes a version that was there when an entry first looked. If older ones are known here, it was named since.
     *
     * @param version the version
     * @param atNanos when it was found
     * @param nowNanos the time
     */
    public void recordInitial(int version, long atNanos, long nowNanos) {
        if (isEmpty()) {
            initialVersion = version;
            initialNanos = atNanos;
        } else if (version > newest()) {
            recordPublished(version, atNanos, nowNanos);
        }
    }
}

package org.geraniumford.core.weights;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Records when the versions of one model's weights were published. An engine that returns after a long absence may have
 * weights that were replaced meanwhile; the history keeps requests away from it until it has loaded newer ones. An
 * entry that starts during a rollout has not observed when the version that it finds was published. The publication may
 * already be as long ago as the staleness limit, so a shorter limit applies to the older versions. Not thread-safe.
 */
public final class WeightsHistory {
    /** The maximum number of versions whose time of publication is kept. */
    private static final int MAX_VERSIONS = 64;

    /**
     * How long older weights may be used after an entry found a version that was published before the entry started.
     * The deployment's specification sets a limit, contact_ms, of 3,000 ms from the start of the process. It takes up
     * to 1,500 ms until the process has read the store.
     */
    private static final Duration MAX_INITIAL_STALENESS = Duration.ofSeconds(1);

    /** How many recent versions are announced, so that entries that have just started receive their ages. */
    private static final int MAX_GOSSIP_VERSIONS = 4;

    private final TreeMap<Integer, Long> publishedNanos = new TreeMap<>();

    /** When each version was first heard of, in nanoseconds of the shared clock; it was published before. */
    private final TreeMap<Integer, Long> knownNanos = new TreeMap<>();

    /** The newest version of unknown age when this history began; 0 if there is none. */
    private int initialVersion;

    /** When the initial version was found or the first publication was recorded, in nanoseconds of the shared clock. */
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
     * @return the version; 0 if none was published
     */
    public int newest() {
        return publishedNanos.isEmpty() ? initialVersion : Math.max(initialVersion, publishedNanos.lastKey());
    }

    /**
     * Returns the versions to announce, so that another entry avoids the same old weights as this one.
     *
     * @param model the name of the model
     * @param nowNanos the present time in nanoseconds of the shared clock
     * @return the newest versions whose publication was observed, at most four, and the initial version if none is
     *     newer
     */
    public List<PublishedWeights> gossip(String model, long nowNanos) {
        Stream<PublishedWeights> initial = Stream.of(initialVersion)
                .filter(version -> version > 0 && version == newest() && !publishedNanos.containsKey(version))
                .map(version -> published(model, version, initialNanos, nowNanos, false));
        Stream<PublishedWeights> observed = publishedNanos.descendingMap().entrySet().stream()
                .limit(MAX_GOSSIP_VERSIONS)
                .map(entry -> published(model, entry.getKey(), entry.getValue(), nowNanos, true));
        return Stream.concat(observed, initial).toList();
    }

    private static PublishedWeights published(
            String model, int version, long atNanos, long nowNanos, boolean observed) {
        return new PublishedWeights(model, version, millis(atNanos), millis(nowNanos - atNanos), observed);
    }

    private static long millis(long nanos) {
        return Duration.ofNanos(nanos).toMillis();
    }

    /**
     * Returns the oldest version on which a request may still begin.
     *
     * @param maxStaleness how long older weights may be used after a version was published
     * @param nowNanos the present time in nanoseconds of the shared clock
     * @return the newest version that was published longer ago than {@code maxStaleness}, or the newest version of
     *     unknown age if that one is newer and more than 1 s has passed since the first version was found or recorded;
     *     0 if there is neither, so that every version is allowed
     */
    public int oldestAllowed(Duration maxStaleness, long nowNanos) {
        int observed = publishedNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() > maxStaleness.toNanos())
                .mapToInt(Map.Entry::getKey)
                .max()
                .orElse(0);
        boolean initialExpired = nowNanos - initialNanos > MAX_INITIAL_STALENESS.toNanos();
        return initialExpired ? Math.max(observed, newestOfUnknownAge()) : observed;
    }

    /**
     * Returns how much longer requests may begin on a version.
     *
     * @param version the version
     * @param maxStaleness how long older weights may be used after a version was published
     * @param nowNanos the present time in nanoseconds of the shared clock
     * @return the time until the first newer version has been published for {@code maxStaleness}, negative afterwards;
     *     {@code maxStaleness} if there is no newer version; zero if it is not known when one was published
     */
    public Duration timeLeft(int version, Duration maxStaleness, long nowNanos) {
        if (version >= newest()) {
            return maxStaleness;
        }
        if (version < newestOfUnknownAge()) {
            return Duration.ZERO;
        }
        long newerPublishedNanos = publishedNanos.higherEntry(version).getValue();
        return maxStaleness.minusNanos(nowNanos - newerPublishedNanos);
    }

    /**
     * Returns the newest version, up to the initial one, whose time of publication is unknown. All versions up to the
     * initial one were published before it was found, but only those that peers announced have a time.
     */
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
     * Records a version that was published after a known time. If several times are reported, the latest is kept, which
     * is the tightest limit. A time after which the version, or a newer one, was known here already is a wrong one; the
     * version then counts as published when it was first known.
     *
     * @param version the version
     * @param atNanos a time at which the version was not published yet, in nanoseconds of the shared clock
     * @param nowNanos the present time in nanoseconds of the shared clock
     */
    public void recordPublished(int version, long atNanos, long nowNanos) {
        if (isEmpty()) {
            // All earlier versions were published at an unknown time before this one.
            initialVersion = version - 1;
            initialNanos = nowNanos;
        }
        recordKnown(version, Math.max(atNanos, nowNanos));
        publishedNanos.merge(version, Math.min(atNanos, knownSinceNanos(version)), Math::max);
        while (publishedNanos.size() > MAX_VERSIONS) {
            publishedNanos.remove(requireNonNull(publishedNanos.firstKey()));
        }
    }

    private void recordKnown(int version, long atNanos) {
        knownNanos.putIfAbsent(version, atNanos);
        while (knownNanos.size() > MAX_VERSIONS) {
            knownNanos.remove(requireNonNull(knownNanos.firstKey()));
        }
    }

    /** Returns when a version, or a newer one, was first known. */
    private long knownSinceNanos(int version) {
        return knownNanos.tailMap(version).values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Records a version that existed when an entry first read the store. Unless it is known already, its age is unknown
     * until a time of its publication is recorded.
     *
     * @param version the version
     * @param atNanos when the version was found, in nanoseconds of the shared clock
     * @param nowNanos the present time in nanoseconds of the shared clock
     */
    public void recordInitial(int version, long atNanos, long nowNanos) {
        if (version > newest()) {
            initialNanos = isEmpty() ? atNanos : nowNanos;
            initialVersion = version;
            recordKnown(version, nowNanos);
        }
    }
}

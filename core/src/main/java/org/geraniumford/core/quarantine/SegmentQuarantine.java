package org.geraniumford.core.quarantine;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which requests may be sent to backend servers, although servers ended under them or under segments of their
 * prompts. A request, or a segment, may end every server that begins to respond to it. It is recognized by ends that
 * follow one another without a response in between, because no response with it ever begins. All entries count together
 * by gossip. A request or segment with two ends is held for a time that grows with each further end; then one request
 * at a time tries it. The first event of any response clears its request and all segments of its prompt, at every
 * entry. In this class a segment stands for either. Not thread-safe; times are from {@link System#nanoTime}.
 */
public final class SegmentQuarantine {
    /** The least time after which a refused request may be sent again. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(250);

    /**
     * What a request with several held segments waits after the hold. Requests with only one of them are tried first,
     * and show which one is to blame.
     */
    private static final Duration SEVERAL_SEGMENTS_DELAY = Duration.ofSeconds(4);

    private final TrialTurns turns;
    private final QuarantineListener listener;
    private final SuspicionTable suspicions = SuspicionTable.empty();
    private final TrialTable trials = TrialTable.empty();
    private final RecentResponses recentResponses = RecentResponses.empty();

    private SegmentQuarantine(String entry, QuarantineListener listener) {
        this.turns = TrialTurns.of(entry);
        this.listener = listener;
    }

    // -- construction

    /**
     * Creates a quarantine without segments.
     *
     * @param entry the name of this entry's host
     * @param listener receives the changes
     * @return an empty quarantine
     */
    public static SegmentQuarantine empty(String entry, QuarantineListener listener) {
        return new SegmentQuarantine(
                requireNonNull(entry, "entry is null"), requireNonNull(listener, "listener is null"));
    }

    // -- queries

    /**
     * Decides whether an attempt may begin now: the first one of a request, or a retry after an engine has ended.
     *
     * @param segments the keys of the prompt's shared segments
     * @param nowNanos the current time
     * @return the decision, with the most suspect segment
     */
    public QuarantineDecision decide(List<Long> segments, long nowNanos) {
        return decide(RequestKeys.ofSegments(segments), nowNanos);
    }

    /**
     * Decides whether an attempt may begin now: the first one of a request, or a retry after a server has ended.
     *
     * @param keys the keys of the request and of its prompt's shared segments
     * @param nowNanos the current time
     * @return the decision, with the most suspect key
     */
    public QuarantineDecision decide(RequestKeys keys, long nowNanos) {
        List<Long> segments = keys.all();
        Comparator<Long> byCount = Comparator.comparingInt(segment -> count(segment, nowNanos));
        long mostSuspect = segments.stream().max(byCount).orElse(0L);
        int count = count(mostSuspect, nowNanos);
        if (segments.isEmpty() || count == 0) {
            return new QuarantineDecision.Unsuspected();
        } else if (!HoldTimes.isHeld(count)) {
            return new QuarantineDecision.Suspected(mostSuspect, count, false);
        }
        Duration wait = trialWait(heldSegments(segments, nowNanos), count, nowNanos);
        return wait.compareTo(Duration.ZERO) > 0
                ? new QuarantineDecision.Held(mostSuspect, count, longer(wait, MIN_RETRY_AFTER))
                : new QuarantineDecision.Suspected(mostSuspect, count, true);
    }

    /** Returns the time until this entry may try the held segments of a request; zero or negative if it may now. */
    private Duration trialWait(List<Long> held, int count, long nowNanos) {
        Duration holdLeft = held.stream()
                .map(segment -> suspicions.find(segment, nowNanos).holdLeft(nowNanos))
                .reduce(SegmentQuarantine::longer)
                .orElse(Duration.ZERO);
        if (trials.isAnyOnTrial(held, nowNanos)) {
            return longer(holdLeft, MIN_RETRY_AFTER);
        }
        Duration severalDelay = held.size() > 1 ? SEVERAL_SEGMENTS_DELAY : Duration.ZERO;
        long key = held.stream().reduce(0L, (keys, segment) -> keys ^ segment);
        return turns.wait(key, count, holdLeft.plus(severalDelay).negated());
    }

    private List<Long> heldSegments(List<Long> segments, long nowNanos) {
        return segments.stream()
                .filter(segment -> HoldTimes.isHeld(count(segment, nowNanos)))
                .toList();
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    /**
     * Returns how many ends count against a segment.
     *
     * @param segment the segment's key
     * @param nowNanos the current time
     * @return the number of ends, one after the other, since a response with the segment began
     */
    public int count(long segment, long nowNanos) {
        return suspicions.find(segment, nowNanos).count();
    }

    /**
     * Returns whether nothing is suspect, so that the key of a request is not needed.
     *
     * @return true if no segment or request is tracked
     */
    public boolean isEmpty() {
        return suspicions.size() == 0;
    }

    /**
     * Returns how many segments are tracked, suspect or cleared.
     *
     * @return the number of segments, at most 256
     */
    public int size() {
        return suspicions.size();
    }

    /**
     * Returns what is to be announced to the peers: at once after a change, and in each regular message.
     *
     * @param nowNanos the current time
     * @return the held segments and recent changes, at most 64 segments, and this entry's trials
     */
    public QuarantineGossip gossip(long nowNanos) {
        return new QuarantineGossip(suspicions.announced(nowNanos), trials.own());
    }

    // -- commands

    /**
     * Records that an attempt begins, which {@link #decide} allows. If a segment is held, the attempt is its trial.
     *
     * @param segments the keys of the prompt's shared segments
     * @param nowNanos the current time
     * @return the use, to be given to {@link #release} when the attempt has ended in any way
     */
    public PromptUse begin(List<Long> segments, long nowNanos) {
        return begin(RequestKeys.ofSegments(segments), nowNanos);
    }

    /**
     * Records that an attempt begins, which {@link #decide} allows. If a key is held, the attempt is its trial.
     *
     * @param keys the keys of the request and of its prompt's shared segments
     * @param nowNanos the current time
     * @return the use, to be given to {@link #release} when the attempt has ended in any way
     */
    public PromptUse begin(RequestKeys keys, long nowNanos) {
        List<Long> segments = keys.all();
        Map<Long, Integer> levels = new HashMap<>();
        segments.forEach(segment ->
                levels.put(segment, suspicions.find(segment, nowNanos).level()));
        PromptUse use = PromptUse.of(keys, levels, heldSegments(segments, nowNanos));
        if (!use.tried().isEmpty()) {
            trials.start(use);
            listener.changed();
        }
        return use;
    }

    /**
     * Records the first whole event of a response, which clears all shared segments of its prompt.
     *
     * @param use the attempt's use
     * @param nowNanos the current time
     */
    public void recordFirstEvent(PromptUse use, long nowNanos) {
        List<Long> segments = use.keys().all();
        segments.forEach(segment -> recentResponses.record(segment, nowNanos));
        List<Long> suspects = segments.stream()
                .filter(segment -> count(segment, nowNanos) > 0)
                .toList();
        suspects.forEach(
                segment -> update(segment, suspicions.find(segment, nowNanos).cleared(nowNanos), nowNanos));
        if (!suspects.isEmpty()) {
            listener.changed();
        }
    }

    /**
     * Records that an engine ended, or broke off a response, after an attempt was sent and before its first whole
     * event.
     *
     * @param use the attempt's use
     * @param server the key of the server incarnation that ended
     * @param nowNanos the current time
     */
    public void recordEngineEnd(PromptUse use, long server, long nowNanos) {
        List<Long> accused = accused(use, nowNanos);
        accused.forEach(segment -> update(
                segment, suspicions.find(segment, nowNanos).withEnd(use.level(segment), server, nowNanos), nowNanos));
        if (!accused.isEmpty()) {
            listener.changed();
        }
    }

    /**
     * Returns the keys to which the end of a server is attributed: those on trial, or else the request alone if a
     * server ended under it before, or else all. A segment that ends servers does so under requests that differ.
     */
    private List<Long> accused(PromptUse use, long nowNanos) {
        if (!use.tried().isEmpty()) {
            return use.tried();
        }
        RequestKeys keys = use.keys();
        boolean repeated = keys.request().stream().anyMatch(request -> count(request, nowNanos) > 0);
        return repeated ? keys.request().stream().boxed().toList() : keys.all();
    }

    /**
     * Records that an attempt has ended, in whatever way, so that another request may try its held segments.
     *
     * @param use the attempt's use
     */
    public void release(PromptUse use) {
        if (!use.tried().isEmpty()) {
            trials.end(use);
            listener.changed();
        }
    }

    /**
     * Adds what a peer announced.
     *
     * @param peer the name of the peer's host
     * @param gossip the announcement
     * @param nowNanos the current time
     */
    public void applyGossip(String peer, QuarantineGossip gossip, long nowNanos) {
        suspicions.removeForgotten(nowNanos);
        trials.applyGossip(peer, gossip.trials(), nowNanos);
        gossip.suspects().forEach(told -> applySuspect(told, nowNanos));
    }

    private void applySuspect(SuspectSegment told, long nowNanos) {
        Suspicion announced = Suspicion.of(told, nowNanos);
        if (announced.isForgotten(nowNanos)) {
            return;
        }
        Suspicion known = suspicions.find(told.segment(), nowNanos);
        Suspicion merged = known.merge(announced);
        // A peer that missed a change would hold requests for longer, or begin them.
        update(told.segment(), known.isNewerThan(announced) ? merged.announcedAgain(nowNanos) : merged, nowNanos);
    }

    /**
     * Records which other entries are alive.
     *
     * @param alivePeers the names of their hosts, without this one
     */
    public void updatePeers(Collection<String> alivePeers) {
        turns.updatePeers(alivePeers);
    }

    /** Replaces what is known about a segment, unless a response has just begun with it. */
    private void update(long segment, Suspicion suspicion, long nowNanos) {
        Suspicion before = suspicions.find(segment, nowNanos);
        boolean refuted = suspicion.count() > 0 && recentResponses.refutes(segment, suspicion.raisedNanos());
        Suspicion updated = refuted ? suspicion.cleared(nowNanos) : suspicion;
        suspicions.put(segment, updated, nowNanos);
        if (refuted) {
            listener.changed();
        }
        if (updated.isHeld() && updated.count() > before.count()) {
            listener.held(segment, updated.count(), HoldTimes.of(updated.count()));
        } else if (before.isHeld() && !updated.isHeld()) {
            listener.released(segment);
        }
    }
}

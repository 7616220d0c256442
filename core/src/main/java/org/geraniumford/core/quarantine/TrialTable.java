package org.geraniumford.core.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The requests that have a held segment on trial, at this entry and at its peers. Not thread-safe. */
final class TrialTable {
    /** A peer's trials lapse if it has not announced them again for this long. */
    private static final Duration LAPSE_TIME = Duration.ofSeconds(3);

    private final Map<Long, PromptUse> own = new HashMap<>();
    private final Map<String, Announcement> byPeer = new HashMap<>();

    private TrialTable() {}

    // -- construction

    static TrialTable empty() {
        return new TrialTable();
    }

    // -- queries

    boolean isAnyOnTrial(Collection<Long> segments, long nowNanos) {
        return segments.stream().anyMatch(own::containsKey)
                || byPeer.values().stream()
                        .filter(announcement -> !announcement.isLapsed(nowNanos))
                        .anyMatch(announcement -> segments.stream().anyMatch(announcement.segments()::contains));
    }

    List<Long> own() {
        return List.copyOf(own.keySet());
    }

    // -- commands

    void start(PromptUse use) {
        use.tried().forEach(segment -> own.put(segment, use));
    }

    void end(PromptUse use) {
        own.values().removeIf(trial -> trial == use);
    }

    void applyGossip(String peer, List<Long> segments, long nowNanos) {
        if (segments.isEmpty()) {
            byPeer.remove(peer);
            return;
        }
        byPeer.values().removeIf(announcement -> announcement.isLapsed(nowNanos));
        byPeer.put(peer, new Announcement(segments, nowNanos));
    }

    private record Announcement(List<Long> segments, long heardNanos) {
        boolean isLapsed(long nowNanos) {
            return nowNanos - heardNanos > LAPSE_TIME.toNanos();
        }
    }
}

package org.geraniumford.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Records the changes of a quarantine for a test. */
final class RecordedChanges implements QuarantineListener {
    private final List<Integer> heldCounts = new ArrayList<>();
    private int changes;
    private int releases;

    // -- queries

    int changes() {
        return changes;
    }

    List<Integer> heldCounts() {
        return List.copyOf(heldCounts);
    }

    int releases() {
        return releases;
    }

    // -- events

    @Override
    public void changed() {
        changes++;
    }

    @Override
    public void held(long segment, int count, Duration hold) {
        heldCounts.add(count);
    }

    @Override
    public void released(long segment) {
        releases++;
    }
}

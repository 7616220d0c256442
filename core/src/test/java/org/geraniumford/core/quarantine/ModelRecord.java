package org.geraniumford.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** What happened in a {@link ModelDeployment}. */
final class ModelRecord {
    private final List<Long> badArrivals = new ArrayList<>();
    private final List<Long> badEnds = new ArrayList<>();
    private final List<Hold> holds = new ArrayList<>();
    private final List<SoundRequest> sound = new ArrayList<>();

    // -- queries

    /** Returns when the n-th engine ended under the bad segment, from 1; empty if fewer ended. */
    OptionalLong badEndNanos(int number) {
        return badEnds.size() < number ? OptionalLong.empty() : OptionalLong.of(badEnds.get(number - 1));
    }

    int badEnds() {
        return badEnds.size();
    }

    /** Returns how many requests with the bad segment reached engines in a span, from entries that were in touch. */
    long badArrivals(long fromNanos, long toNanos) {
        return badArrivals.stream()
                .filter(nanos -> nanos > fromNanos && nanos < toNanos)
                .count();
    }

    /** Returns when an entry first held the segment, empty if none did. */
    OptionalLong firstHoldNanos(long segment) {
        return holds.stream()
                .filter(hold -> hold.segment() == segment)
                .mapToLong(Hold::nanos)
                .min();
    }

    int largestHeldCount() {
        return holds.stream().mapToInt(Hold::count).max().orElse(0);
    }

    /** Returns the fraction of the sound requests since a time that were begun at their first attempt. */
    double begunFraction(long fromNanos) {
        List<SoundRequest> counted =
                sound.stream().filter(request -> request.nanos() > fromNanos).toList();
        return (double) counted.stream().filter(SoundRequest::begun).count() / counted.size();
    }

    // -- commands

    void addBadArrival(long nanos) {
        badArrivals.add(nanos);
    }

    void addBadEnd(long nanos) {
        badEnds.add(nanos);
    }

    void addHold(long nanos, long segment, int count) {
        holds.add(new Hold(nanos, segment, count));
    }

    void addSound(long nanos, boolean begun) {
        sound.add(new SoundRequest(nanos, begun));
    }

    private record Hold(long nanos, long segment, int count) {}

    private record SoundRequest(long nanos, boolean begun) {}
}

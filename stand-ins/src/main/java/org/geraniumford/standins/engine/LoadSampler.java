package org.geraniumford.standins.engine;

/** Delays the load that an engine reports, by returning the sample before the latest. */
final class LoadSampler {
    private final long intervalMicros;
    private Sample reported = new Sample(Long.MIN_VALUE, 0, 0);
    private Sample latest = reported;

    LoadSampler(long intervalMicros) {
        this.intervalMicros = intervalMicros;
    }

    /**
     * Takes a sample of the load if the interval has passed since the latest one, and returns the sample before the
     * latest, or an empty load if there is none. The time is in microseconds.
     */
    Sample sample(int running, int waiting, long now) {
        if (latest.takenMicros == Long.MIN_VALUE || now - latest.takenMicros >= intervalMicros) {
            reported = latest;
            latest = new Sample(now, running, waiting);
        }
        return reported;
    }

    /** The load at a time. The empty load before the first sample has the time {@link Long#MIN_VALUE}. */
    record Sample(long takenMicros, int running, int waiting) {}
}

package org.geraniumford.standins.engine;

/** Delays the load that an engine reports: it returns the sample before the latest. */
final class LoadSampler {
    private final long intervalMicros;
    private Sample reported = new Sample(Long.MIN_VALUE, 0, 0);
    private Sample pending = reported;

    LoadSampler(long intervalMicros) {
        this.intervalMicros = intervalMicros;
    }

    /**
     * Samples the load if the interval has passed, and returns the sample before the latest, at first an empty one. The
     * time is in microseconds.
     */
    Sample sample(int running, int waiting, long now) {
        if (pending.takenMicros == Long.MIN_VALUE || now - pending.takenMicros >= intervalMicros) {
            reported = pending;
            pending = new Sample(now, running, waiting);
        }
        return reported;
    }

    record Sample(long takenMicros, int running, int waiting) {}
}

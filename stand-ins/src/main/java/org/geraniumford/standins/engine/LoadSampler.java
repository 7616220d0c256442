package org.geraniumford.standins.engine;

/** The load as an engine reports it: as it was a while ago. */
final class LoadSampler {
    private final long lagMicros;
    private Sample reported = new Sample(Long.MIN_VALUE, 0, 0);
    private Sample pending = reported;

    LoadSampler(long lagMicros) {
        this.lagMicros = lagMicros;
    }

    /** Takes note of the present load and returns an older one. */
    Sample sample(int running, int waiting, long now) {
        if (pending.takenMicros == Long.MIN_VALUE || now - pending.takenMicros >= lagMicros) {
            reported = pending;
            pending = new Sample(now, running, waiting);
        }
        return reported;
    }

    record Sample(long takenMicros, int running, int waiting) {}
}

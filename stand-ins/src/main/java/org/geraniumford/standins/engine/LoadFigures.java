package org.geraniumford.standins.engine;

/** The load as an engine reports it: as it was a while ago. */
final class LoadFigures {
    private final long lagMicros;
    private Sample shown = new Sample(Long.MIN_VALUE, 0, 0);
    private Sample next = shown;

    LoadFigures(long lagMicros) {
        this.lagMicros = lagMicros;
    }

    /** Takes note of the present load and returns an older one. */
    Sample report(int running, int waiting, long now) {
        if (next.at == Long.MIN_VALUE || now - next.at >= lagMicros) {
            shown = next;
            next = new Sample(now, running, waiting);
        }
        return shown;
    }

    record Sample(long at, int running, int waiting) {}
}

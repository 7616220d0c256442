package org.geraniumford.core.time;

/** The clocks of this process. */
public interface LocalClock {
    /**
     * Returns the time of the monotonic clock, which stands still while the host is suspended.
     *
     * @return the time in nanoseconds since an arbitrary moment
     */
    long nanos();

    /**
     * Returns the time of day, which may be set.
     *
     * @return the time in milliseconds since the epoch
     */
    long timeOfDayMillis();

    /**
     * Returns the clocks of the system.
     *
     * @return a clock without state
     */
    static LocalClock system() {
        return SystemClock.INSTANCE;
    }

    /** Reads the clocks of the system. */
    enum SystemClock implements LocalClock {
        /** The only one. */
        INSTANCE;

        @Override
        public long nanos() {
            return System.nanoTime();
        }

        @Override
        public long timeOfDayMillis() {
            return System.currentTimeMillis();
        }
    }
}

package org.geraniumford.core.weights;

import java.time.Duration;
import org.geraniumford.core.time.LocalClock;

/**
 * The time in which a permission may be acted upon. The monotonic clock stands still while a host is suspended, and the
 * time of day may be set; the window ends when either clock says so, so that a process that was paused does not act on
 * a permission that has run out meanwhile. Immutable.
 */
public final class IssueWindow {
    private final long startNanos;
    private final long startMillis;
    private final Duration length;

    private IssueWindow(long startNanos, long startMillis, Duration length) {
        this.startNanos = startNanos;
        this.startMillis = startMillis;
        this.length = length;
    }

    // -- construction

    /**
     * Opens a window.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @param nowMillis the current time of day, from {@link System#currentTimeMillis}
     * @param length how long the window is open
     * @return a window that is open now
     */
    public static IssueWindow startingAt(long nowNanos, long nowMillis, Duration length) {
        return new IssueWindow(nowNanos, nowMillis, length);
    }

    /**
     * Opens a window.
     *
     * @param clock the clocks of this process
     * @param length how long the window is open
     * @return a window that is open now
     */
    public static IssueWindow starting(LocalClock clock, Duration length) {
        return startingAt(clock.nanos(), clock.timeOfDayMillis(), length);
    }

    // -- queries

    /**
     * Returns whether the permission may be acted upon.
     *
     * @param clock the clocks of this process
     * @return false once one of the clocks has advanced by the length of the window
     */
    public boolean isOpen(LocalClock clock) {
        return isOpen(clock.nanos(), clock.timeOfDayMillis());
    }

    /**
     * Returns whether the permission may be acted upon.
     *
     * @param nowNanos the current time, from {@link System#nanoTime}
     * @param nowMillis the current time of day, from {@link System#currentTimeMillis}
     * @return false once one of the clocks has advanced by the length of the window
     */
    public boolean isOpen(long nowNanos, long nowMillis) {
        return nowNanos - startNanos < length.toNanos() && nowMillis - startMillis < length.toMillis();
    }

    /**
     * Returns when the window was opened.
     *
     * @return the time of {@link System#nanoTime}
     */
    public long startNanos() {
        return startNanos;
    }
}

package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * The time for which one incarnation of a backend server wants no requests from this entry, as it said when it turned
 * one away. After that time requests come back gradually. Not thread-safe; times are from {@link System#nanoTime}.
 */
public final class ServerPause {
    /** The longest pause that is kept, so that a wrong value does not leave a server unused for good. */
    public static final Duration LONGEST_PAUSE = Duration.ofMinutes(5);

    /** An entry returns up to this long after the end, so that entries that were told the same end do not collide. */
    private static final Duration MAX_RETURN_DELAY = Duration.ofMillis(100);

    /** Request n after a pause, counted from 0, is sent no earlier than the square root of n times this after it. */
    private static final Duration RETURN_STEP = Duration.ofMillis(50);

    /** A value that is no time is logged once in this time. */
    private static final Duration INVALID_LOG_INTERVAL = Duration.ofMinutes(1);

    /** How long after a pause requests are still held to {@link #RETURN_STEP}. */
    private static final Duration RETURN_TIME = Duration.ofSeconds(1);

    private final RandomGenerator random;
    private boolean asked;
    private long endNanos;
    private int returned;
    private boolean invalidLogged;
    private long invalidLoggedNanos;

    private ServerPause(RandomGenerator random) {
        this.random = random;
    }

    // -- construction

    /**
     * Creates the state of a server that asked for no pause.
     *
     * @param random the source of the differences between entries
     * @return a new state
     */
    public static ServerPause none(RandomGenerator random) {
        return new ServerPause(requireNonNull(random, "random is null"));
    }

    // -- queries

    /**
     * Returns how long the server is to be sent nothing.
     *
     * @param nowNanos the current time
     * @return the time until another request may be sent; zero if one may be sent now
     */
    public Duration timeLeft(long nowNanos) {
        if (!isRemembered(nowNanos)) {
            return Duration.ZERO;
        }
        long notBeforeNanos = endNanos + (long) (RETURN_STEP.toNanos() * Math.sqrt(returned));
        return Duration.ofNanos(Math.max(0, notBeforeNanos - nowNanos));
    }

    /**
     * Returns whether the server may not be sent a request now.
     *
     * @param nowNanos the current time
     * @return true until the end of the pause, and after it while others have just returned
     */
    public boolean isPaused(long nowNanos) {
        return !timeLeft(nowNanos).isZero();
    }

    /**
     * Returns whether the pause itself lasts.
     *
     * @param nowNanos the current time
     * @return true until the end of the pause
     */
    public boolean lasts(long nowNanos) {
        return asked && nowNanos - endNanos < 0;
    }

    /**
     * Returns whether the pause still matters.
     *
     * @param nowNanos the current time
     * @return true until requests are no longer held back
     */
    public boolean isRemembered(long nowNanos) {
        return asked && nowNanos - endNanos < RETURN_TIME.toNanos();
    }

    // -- commands

    /**
     * Records that the server asked for a pause, which replaces one that it asked for before.
     *
     * @param duration how long it wants nothing; more than {@link #LONGEST_PAUSE} counts as that
     * @param nowNanos the current time
     */
    public void ask(Duration duration, long nowNanos) {
        Duration bounded = duration.compareTo(LONGEST_PAUSE) < 0 ? duration : LONGEST_PAUSE;
        asked = true;
        endNanos = nowNanos + bounded.toNanos() + random.nextLong(MAX_RETURN_DELAY.toNanos());
        returned = 0;
    }

    /**
     * Returns whether a value that is no time is to be logged, and records that it is.
     *
     * @param nowNanos the current time
     * @return true once a minute
     */
    public boolean isInvalidLogDue(long nowNanos) {
        boolean due = !invalidLogged || nowNanos - invalidLoggedNanos >= INVALID_LOG_INTERVAL.toNanos();
        if (due) {
            invalidLogged = true;
            invalidLoggedNanos = nowNanos;
        }
        return due;
    }

    /**
     * Records that a request is sent.
     *
     * @param nowNanos the current time
     */
    public void recordSent(long nowNanos) {
        if (isRemembered(nowNanos)) {
            returned++;
        }
    }
}

package org.geraniumford.transport.worker;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.atomic.LongAdder;
import org.geraniumford.transport.log.LogEvent;

/**
 * Runs actions whose failure must not end what calls them: a repeated duty of a thread, or one listener among several.
 * A failure is logged and counted. Thread-safe.
 */
public final class Guarded {
    private static final LongAdder FAILURES = new LongAdder();

    private Guarded() {}

    // -- commands

    /**
     * Runs an action, and logs what it throws in place of throwing it.
     *
     * @param duty the name of what the action does, for the log
     * @param action the action
     */
    public static void run(String duty, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | StackOverflowError e) {
            FAILURES.increment();
            LogEvent.of("duty_failed")
                    .with("duty", duty)
                    .with("at", e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0])
                    .error(e);
        }
    }

    /**
     * Returns an action that calls {@link #run}, for timers that stop at the first failure.
     *
     * @param duty the name of what the action does, for the log
     * @param action the action
     * @return an action that does not fail
     */
    public static Runnable of(String duty, Runnable action) {
        requireNonNull(duty, "duty is null");
        requireNonNull(action, "action is null");
        return () -> run(duty, action);
    }

    // -- queries

    /**
     * Returns how many actions have failed in this process.
     *
     * @return a number of 0 or more
     */
    public static long failures() {
        return FAILURES.sum();
    }
}

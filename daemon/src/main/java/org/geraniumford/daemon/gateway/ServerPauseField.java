package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/** What a response that turns a request away says of the time for which its server wants no others. */
public sealed interface ServerPauseField {
    /** The response asks for no pause. */
    record Absent() implements ServerPauseField {}

    /**
     * The response asks for a pause.
     *
     * @param duration how long the server wants nothing, at least zero
     */
    record Asked(Duration duration) implements ServerPauseField {
        /** Checks the component. */
        public Asked {
            requireNonNull(duration, "duration is null");
        }
    }

    /**
     * The response has a value that is no time.
     *
     * @param value the value
     */
    record Invalid(String value) implements ServerPauseField {
        /** Checks the component. */
        public Invalid {
            requireNonNull(value, "value is null");
        }
    }
}

package org.geraniumford.daemon.load;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** What can go wrong in a scenario. */
public enum FaultKind {
    /** A runner's engine crashes; the value is how long it is down, in milliseconds. */
    ENGINE_CRASH,
    /** Every engine loses the fraction of cache events that the value gives. */
    EVENT_LOSS,
    /** Every entry is killed and started again. */
    ENTRY_RESTART,
    /** The platform answers nothing for as many seconds as the value gives. */
    STORE_OUTAGE,
    /** Every runner of a failure domain is killed. */
    DOMAIN_LOSS;

    /**
     * Returns the spelling in scenario files.
     *
     * @return a lower-case label with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static Optional<FaultKind> ofLabel(String label) {
        return Arrays.stream(values())
                .filter(kind -> kind.label().equals(label))
                .findFirst();
    }
}

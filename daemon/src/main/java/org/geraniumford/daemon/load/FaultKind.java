package org.geraniumford.daemon.load;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The kinds of faults that a scenario can inject. Times are those of the modelled deployment. */
public enum FaultKind {
    /** The engine of the target runner crashes. The value is its downtime in milliseconds. */
    ENGINE_CRASH,
    /** Every engine loses a fraction of its cache events. The value is the fraction, from 0 to 1. */
    EVENT_LOSS,
    /** Every entry is killed and restarted. The value is not used. */
    ENTRY_RESTART,
    /** The platform sends no responses. The value is the duration in seconds. */
    STORE_OUTAGE,
    /** Every runner of the target failure domain is killed. The value is not used. */
    DOMAIN_LOSS;

    /**
     * Returns the kind's label in scenario files.
     *
     * @return the constant's name in lower case, with hyphens
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

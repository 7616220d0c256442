package org.geraniumford.standins.service;

/**
 * The injected faults, or a change of them, read from JSON. A null component of a change leaves its fault unchanged.
 * Each call that is not idempotent (a ballot or a send) uses the fault that {@link #next()} returns and reduces that
 * fault's count by 1.
 *
 * @param delayMillis the delay of each ballot, send and status query, in milliseconds
 * @param errorBefore how many of the next ballots and sends fail before they are executed
 * @param errorAfter how many of the next ballots and sends fail after they were executed
 * @param lostBefore how many of the next ballots and sends lose their connection before they are executed
 * @param lostAfter how many of the next ballots and sends lose their connection after they were executed
 */
public record ServiceFaults(
        Long delayMillis, Integer errorBefore, Integer errorAfter, Integer lostBefore, Integer lostAfter) {
    private static final ServiceFaults NONE = new ServiceFaults(0L, 0, 0, 0, 0);

    // -- construction

    /**
     * Returns the faults of a service that works.
     *
     * @return no faults
     */
    public static ServiceFaults none() {
        return NONE;
    }

    /**
     * Returns the faults after a change.
     *
     * @param change the change; its null components leave their fault unchanged
     * @return the new faults
     */
    public ServiceFaults with(ServiceFaults change) {
        return new ServiceFaults(
                orElse(change.delayMillis, delayMillis),
                orElse(change.errorBefore, errorBefore),
                orElse(change.errorAfter, errorAfter),
                orElse(change.lostBefore, lostBefore),
                orElse(change.lostAfter, lostAfter));
    }

    // -- queries

    /**
     * Returns the fault of the next call.
     *
     * @return the first fault whose count is more than 0, in the order {@link CallFault#ERROR_BEFORE},
     *     {@link CallFault#LOST_BEFORE}, {@link CallFault#ERROR_AFTER}, {@link CallFault#LOST_AFTER}; otherwise
     *     {@link CallFault#NONE}
     */
    public CallFault next() {
        if (errorBefore > 0) {
            return CallFault.ERROR_BEFORE;
        }
        if (lostBefore > 0) {
            return CallFault.LOST_BEFORE;
        }
        if (errorAfter > 0) {
            return CallFault.ERROR_AFTER;
        }
        return lostAfter > 0 ? CallFault.LOST_AFTER : CallFault.NONE;
    }

    /**
     * Returns the faults after one call.
     *
     * @param fault the fault of that call
     * @return the faults with the count of that fault reduced by 1
     */
    public ServiceFaults after(CallFault fault) {
        return switch (fault) {
            case NONE -> this;
            case ERROR_BEFORE -> new ServiceFaults(delayMillis, errorBefore - 1, errorAfter, lostBefore, lostAfter);
            case LOST_BEFORE -> new ServiceFaults(delayMillis, errorBefore, errorAfter, lostBefore - 1, lostAfter);
            case ERROR_AFTER -> new ServiceFaults(delayMillis, errorBefore, errorAfter - 1, lostBefore, lostAfter);
            case LOST_AFTER -> new ServiceFaults(delayMillis, errorBefore, errorAfter, lostBefore, lostAfter - 1);
        };
    }

    private static <T> T orElse(T changed, T current) {
        return changed == null ? current : changed;
    }
}

package org.geraniumford.standins.service;

/**
 * The body of a change of the fault switches. What is missing stays as it is. The numbers count down with the calls
 * that are not idempotent.
 *
 * @param delayMillis how long each call takes, in milliseconds
 * @param errorBefore how many of the next calls fail before they run
 * @param errorAfter how many of the next calls fail after they ran
 * @param lostBefore how many of the next calls lose their connection before they run
 * @param lostAfter how many of the next calls lose their answer after they ran
 */
public record ServiceFaults(
        Long delayMillis, Integer errorBefore, Integer errorAfter, Integer lostBefore, Integer lostAfter) {
    private static final ServiceFaults NONE = new ServiceFaults(0L, 0, 0, 0, 0);

    // -- construction

    /**
     * Returns the switches of a service that works.
     *
     * @return no faults
     */
    public static ServiceFaults none() {
        return NONE;
    }

    /**
     * Applies a change.
     *
     * @param change what to change
     * @return new switches
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
     * Returns what happens to the next call.
     *
     * @return the first fault that is switched on
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
     * Counts down a fault.
     *
     * @param fault what happened to a call
     * @return the switches for the next one
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

    private static <T> T orElse(T changed, T present) {
        return changed == null ? present : changed;
    }
}

package org.geraniumford.standins.platform;

/**
 * The injected faults, or a change of them, read from JSON. A null component of a change leaves its fault unchanged.
 *
 * @param outage whether every request gets status 503, except changes of hosts and of faults
 * @param slowMillis the delay of every request, except changes of hosts and of faults, in milliseconds
 * @param loseReplies how many of the next writes are executed but lose their response
 * @param loseRequests how many of the next writes are lost before they are executed, without a response
 * @param loseReplyFraction the fraction of writes that are executed but lose their response, 0 to 1
 * @param staleHosts whether the host list stops applying changes
 */
public record PlatformFaults(
        Boolean outage,
        Long slowMillis,
        Integer loseReplies,
        Integer loseRequests,
        Double loseReplyFraction,
        Boolean staleHosts) {
    private static final PlatformFaults NONE = new PlatformFaults(false, 0L, 0, 0, 0.0, false);

    // -- construction

    /**
     * Returns the faults of a platform that works.
     *
     * @return no faults
     */
    public static PlatformFaults none() {
        return NONE;
    }

    /**
     * Returns a change that starts or ends an outage.
     *
     * @param active whether the platform is down
     * @return the change, with all other components null
     */
    public static PlatformFaults outage(boolean active) {
        return new PlatformFaults(active, null, null, null, null, null);
    }

    /**
     * Returns a change that loses the responses of the next writes, without losing the writes.
     *
     * @param writes the number of writes, which replaces the number still to come
     * @return the change, with all other components null
     */
    public static PlatformFaults lostResponses(int writes) {
        return new PlatformFaults(null, null, writes, null, null, null);
    }

    /**
     * Returns the faults after a change.
     *
     * @param change the change; its null components leave their fault unchanged
     * @return the new faults
     */
    public PlatformFaults with(PlatformFaults change) {
        return new PlatformFaults(
                orElse(change.outage, outage),
                orElse(change.slowMillis, slowMillis),
                orElse(change.loseReplies, loseReplies),
                orElse(change.loseRequests, loseRequests),
                orElse(change.loseReplyFraction, loseReplyFraction),
                orElse(change.staleHosts, staleHosts));
    }

    /** Returns the faults with {@code loseReplies} reduced by 1. */
    PlatformFaults afterLostResponse() {
        return with(lostResponses(loseReplies - 1));
    }

    /** Returns the faults with {@code loseRequests} reduced by 1. */
    PlatformFaults afterLostRequest() {
        return with(new PlatformFaults(null, null, null, loseRequests - 1, null, null));
    }

    private static <T> T orElse(T changed, T current) {
        return changed == null ? current : changed;
    }
}

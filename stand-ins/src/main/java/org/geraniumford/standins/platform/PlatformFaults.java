package org.geraniumford.standins.platform;

/**
 * The body of a change of the fault switches. What is missing stays as it is.
 *
 * @param outage whether every request is answered with 503
 * @param slowMillis how long every request takes, in milliseconds
 * @param loseReplies how many of the next writes take effect but lose their reply
 * @param loseRequests how many of the next writes are lost before they take effect, without a reply
 * @param loseReplyFraction the fraction of writes that take effect but lose their reply, 0 to 1
 * @param staleHosts whether the host list shows no changes
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
     * Returns the switches of a platform that works.
     *
     * @return no faults
     */
    public static PlatformFaults none() {
        return NONE;
    }

    /**
     * Returns a change that switches an outage.
     *
     * @param on whether the platform is down
     * @return a change of nothing else
     */
    public static PlatformFaults outage(boolean on) {
        return new PlatformFaults(on, null, null, null, null, null);
    }

    /**
     * Returns a change that loses the replies of the next writes.
     *
     * @param writes how many
     * @return a change of nothing else
     */
    public static PlatformFaults lostReplies(int writes) {
        return new PlatformFaults(null, null, writes, null, null, null);
    }

    /**
     * Applies a change.
     *
     * @param change what to change
     * @return new switches
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

    PlatformFaults afterLostReply() {
        return with(lostReplies(loseReplies - 1));
    }

    PlatformFaults afterLostRequest() {
        return with(new PlatformFaults(null, null, null, loseRequests - 1, null, null));
    }

    private static <T> T orElse(T changed, T present) {
        return changed == null ? present : changed;
    }
}

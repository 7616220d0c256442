package org.geraniumford.daemon.load;

/**
 * The outcome of one request. Times are those of the modelled deployment, from the scheduled time of sending.
 *
 * @param customer the customer's number, from 0
 * @param status the HTTP status; 0 if no response was received
 * @param reason the reason why the request was refused or its response broke off; empty if the response is complete
 * @param firstTokenMicros the time to the first token in microseconds; -1 if no token was received
 * @param totalMicros the time to the end of the response or to the failure, in microseconds
 * @param cachedBlocks the number of the prompt's blocks that were cached; 0 if unknown
 * @param blocks the number of the prompt's blocks; 0 if unknown
 * @param attempts the number of the router's attempts; 0 if unknown
 */
public record Outcome(
        int customer,
        int status,
        String reason,
        long firstTokenMicros,
        long totalMicros,
        int cachedBlocks,
        int blocks,
        int attempts) {
    /**
     * Returns whether the whole response was received.
     *
     * @return false if the request was refused or its response broke off
     */
    public boolean isComplete() {
        return reason.isEmpty();
    }
}

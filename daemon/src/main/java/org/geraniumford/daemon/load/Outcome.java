package org.geraniumford.daemon.load;

/**
 * What became of one request. Times are those of the modelled deployment, from the intended sending.
 *
 * @param customer the customer's number, from 0
 * @param status the HTTP status; 0 without an answer
 * @param reason why it was refused or broke off; empty if the answer is complete
 * @param firstTokenMicros when the first token came, in microseconds; -1 if none came
 * @param totalMicros when the answer ended, in microseconds
 * @param cachedBlocks the pieces taken from a cache
 * @param blocks the prompt's pieces; 0 if not known
 * @param attempts how often the router tried; 0 if not known
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
     * Says whether the whole answer came.
     *
     * @return false if it was refused or broke off
     */
    public boolean isComplete() {
        return reason.isEmpty();
    }
}

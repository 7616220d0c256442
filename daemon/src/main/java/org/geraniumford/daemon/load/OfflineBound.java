package org.geraniumford.daemon.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumford.core.prefix.BlockKey;

/**
 * The least number of pieces that any routing of the same requests has to compute. A piece is computed at its first
 * use, and again only if more distinct pieces than the whole fleet's cache holds were used since its last use.
 *
 * @param requestedPieces the pieces of all requests
 * @param computedPieces those that must be computed
 */
public record OfflineBound(long requestedPieces, long computedPieces) {
    /**
     * Computes the bound.
     *
     * @param requests the keys of each request's pieces, in the order of arrival
     * @param capacityPieces the cache of the whole fleet in pieces
     * @return the bound
     */
    public static OfflineBound of(List<List<BlockKey>> requests, int capacityPieces) {
        List<BlockKey> uses = requests.stream().flatMap(List::stream).toList();
        Map<BlockKey, Integer> lastUses = new HashMap<>();
        LatestUses latest = new LatestUses(uses.size());
        long computed = 0;
        for (int i = 0; i < uses.size(); i++) {
            Integer last = lastUses.put(uses.get(i), i);
            if (last == null) {
                computed++;
            } else {
                computed += latest.countAfter(last) >= capacityPieces ? 1 : 0;
                latest.remove(last);
            }
            latest.add(i);
        }
        return new OfflineBound(uses.size(), computed);
    }

    /**
     * Returns the best hit rate.
     *
     * @return the fraction of pieces that need not be computed; 0 if there are none
     */
    public double hitRate() {
        return requestedPieces == 0 ? 0 : 1 - (double) computedPieces / requestedPieces;
    }

    /** Counts the pieces whose latest use lies after a given one: a binary indexed tree over the uses. */
    private static final class LatestUses {
        private final int[] sums;
        private int total;

        LatestUses(int size) {
            sums = new int[size + 1];
        }

        void add(int use) {
            update(use, 1);
        }

        void remove(int use) {
            update(use, -1);
        }

        int countAfter(int use) {
            int upTo = 0;
            for (int i = use + 1; i > 0; i -= i & -i) {
                upTo += sums[i];
            }
            return total - upTo;
        }

        private void update(int use, int by) {
            total += by;
            for (int i = use + 1; i < sums.length; i += i & -i) {
                sums[i] += by;
            }
        }
    }
}

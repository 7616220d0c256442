package org.geraniumford.daemon.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumford.core.prefix.BlockKey;

/**
 * The number of blocks that must be computed if the same requests are served with one LRU cache, as large as the caches
 * of the whole fleet together. A block is computed at its first use. It is computed again if the number of other blocks
 * used since its last use is at least the capacity. This is a reference value, not a strict minimum: with separate
 * caches fewer blocks may be computed if the routing keeps some blocks apart from the others.
 *
 * @param requestedPieces the number of blocks of all requests
 * @param computedPieces the number of those that must be computed
 */
public record OfflineBound(long requestedPieces, long computedPieces) {
    /**
     * Computes the bound.
     *
     * @param requests the keys of each request's blocks, in the order of arrival
     * @param capacityBlocks the capacity of the caches of the whole fleet, in blocks
     * @return the bound
     */
    public static OfflineBound of(List<List<BlockKey>> requests, int capacityBlocks) {
        List<BlockKey> uses = requests.stream().flatMap(List::stream).toList();
        Map<BlockKey, Integer> lastUses = new HashMap<>();
        LatestUses latestUses = new LatestUses(uses.size());
        long computed = 0;
        for (int i = 0; i < uses.size(); i++) {
            Integer lastUse = lastUses.put(uses.get(i), i);
            if (lastUse == null) {
                computed++;
            } else {
                computed += latestUses.countAfter(lastUse) >= capacityBlocks ? 1 : 0;
                latestUses.remove(lastUse);
            }
            latestUses.add(i);
        }
        return new OfflineBound(uses.size(), computed);
    }

    /**
     * Returns the hit rate of the bound.
     *
     * @return the fraction of blocks that need not be computed; 0 if there are no blocks
     */
    public double hitRate() {
        return requestedPieces == 0 ? 0 : 1 - (double) computedPieces / requestedPieces;
    }

    /** Counts the blocks whose latest use comes after a given use, with a binary indexed tree over the uses. */
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
            int countUpTo = 0;
            for (int i = use + 1; i > 0; i -= i & -i) {
                countUpTo += sums[i];
            }
            return total - countUpTo;
        }

        private void update(int use, int delta) {
            total += delta;
            for (int i = use + 1; i < sums.length; i += i & -i) {
                sums[i] += delta;
            }
        }
    }
}

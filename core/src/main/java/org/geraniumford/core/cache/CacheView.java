package org.geraniumford.core.cache;

import java.util.List;
import org.geraniumford.core.prefix.Block;

/** What is believed of an engine's cache. */
public interface CacheView {
    /** A view of an engine of which nothing is known. */
    CacheView EMPTY = pieces -> 0;

    /**
     * Counts the leading pieces that the engine holds.
     *
     * @param pieces a prompt's pieces, first to last
     * @return 0 up to the number of pieces
     */
    int cachedBlocks(List<Block> pieces);
}

package org.geraniumford.core.cache;

import java.util.List;
import org.geraniumford.core.prefix.Block;

/** A view of the blocks that an engine is assumed to have cached. */
public interface CacheView {
    /** The view of an engine whose cache is unknown; it contains no block. */
    CacheView EMPTY = blocks -> 0;

    /**
     * Counts a prompt's leading blocks that the engine is assumed to have cached.
     *
     * @param blocks the prompt's blocks, first to last
     * @return 0 up to the number of blocks
     */
    int cachedBlocks(List<Block> blocks);
}

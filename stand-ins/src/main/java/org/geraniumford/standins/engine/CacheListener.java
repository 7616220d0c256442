package org.geraniumford.standins.engine;

import java.util.List;
import org.geraniumford.core.prefix.BlockKey;

/** Hears of changes of the cache. */
interface CacheListener {
    /** So many pieces were added. */
    void stored(List<BlockKey> keys);

    /** So many pieces were dropped. */
    void evicted(List<BlockKey> keys);
}

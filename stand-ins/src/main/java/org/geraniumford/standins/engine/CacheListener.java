package org.geraniumford.standins.engine;

import java.util.List;
import org.geraniumford.core.prefix.BlockKey;

/** Receives the changes of the prefix cache. */
interface CacheListener {
    /** Called after blocks were added. */
    void stored(List<BlockKey> keys);

    /** Called after blocks were evicted. */
    void evicted(List<BlockKey> keys);
}

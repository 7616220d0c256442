package org.geraniumford.daemon.streams;

import java.util.Locale;

/** What an answer rests on to the question at which version of its servers' software a stream was begun. */
public enum TakeUpBasis {
    /** The stream's first event came through the entry itself, or through a peer that told it. */
    MEMORY,
    /** A row of the store names the stream. */
    RECORD,
    /** No other version can have begun it. */
    ONLY_VERSION,
    /** Nothing: the store did not answer, or is not known yet. */
    STORE_SILENT,
    /** Nothing: the history does not reach back for as long as the stream can have lasted. */
    HISTORY_SHORT,
    /** Nothing: several versions can have begun it. */
    SEVERAL_VERSIONS,
    /** Nothing: the entry's list of servers is so old that it may miss a version. */
    LIST_OUTDATED,
    /** Nothing: the store may have answered with an older state, which may miss a version. */
    READ_BEHIND;

    // -- queries

    /**
     * Returns the name for logs.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

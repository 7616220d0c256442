package org.geraniumford.standins.engine;

/** Where a completion's answer goes. */
interface CompletionSink {
    /** Says whether the reader keeps up. */
    boolean isWritable();

    /** The prefill begins, with so many pieces taken from the cache. */
    void started(int cachedPieces);

    /** One answer token. */
    void token(int offset, String text);

    /** The answer is complete, with so many answer tokens. */
    void completed(int offset, int cachedTokens);

    /** The request is not run. */
    void refused(int status, String error);

    /** The request was cancelled by its identifier. */
    void cancelled();

    /** The answer breaks off. */
    void aborted();
}

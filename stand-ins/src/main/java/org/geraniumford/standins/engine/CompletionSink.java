package org.geraniumford.standins.engine;

/** Receives the output of a completion, or its rejection. */
interface CompletionSink {
    /** Returns whether the connection accepts more output at present. */
    boolean isWritable();

    /** Called when the prefill starts, with the number of prompt blocks found in the cache. */
    void started(int cachedBlocks);

    /** Called for each output token, with the number of output tokens before it. */
    void token(int offset, String text);

    /**
     * Called when the output is complete, with the number of output tokens, including those before the resume offset,
     * and the number of cached prompt tokens.
     */
    void completed(int outputTokens, int cachedTokens);

    /** Called when the request is not run, with the HTTP status and the name of the error. */
    void rejected(int status, String error);

    /** Called when the request is cancelled by its identifier. */
    void cancelled();

    /** Called when the engine drops the request after its prefill started. */
    void aborted();
}

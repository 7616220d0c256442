package org.geraniumford.standins.engine;

/** An event of a completion stream, as written in JSON. */
public sealed interface CompletionEvent {
    /**
     * The start of the prefill.
     *
     * @param kind {@code started}
     * @param incarnation the incarnation of the engine
     * @param weightsDigest the digest of the weights that compute the output
     * @param cachedPieces the number of prompt blocks found in the cache
     * @param pieces the number of blocks in the prompt
     */
    record Started(String kind, long incarnation, String weightsDigest, int cachedPieces, int pieces)
            implements CompletionEvent {}

    /**
     * One output token.
     *
     * @param kind {@code token}
     * @param offset the number of output tokens before this one
     * @param text the text of the token
     * @param incarnation the incarnation of the engine
     * @param weightsDigest the digest of the weights that compute the output
     */
    record Token(String kind, int offset, String text, long incarnation, String weightsDigest)
            implements CompletionEvent {}

    /**
     * The end of a complete output.
     *
     * @param kind {@code end}
     * @param finishReason always {@code length}, because an output ends only at its maximum length
     * @param offset the number of output tokens, including those before a resume
     * @param promptTokens the length of the prompt in tokens
     * @param cachedTokens the number of prompt tokens found in the cache
     */
    record End(String kind, String finishReason, int offset, int promptTokens, int cachedTokens)
            implements CompletionEvent {}
}

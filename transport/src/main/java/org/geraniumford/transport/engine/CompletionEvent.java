package org.geraniumford.transport.engine;

/** One event of a completion's answer stream. */
public sealed interface CompletionEvent {
    /**
     * The engine began the prefill.
     *
     * @param incarnation the engine's incarnation
     * @param weightsDigest the weights that produce the answer
     * @param cachedBlocks the number of pieces taken from the cache
     */
    record Started(long incarnation, String weightsDigest, int cachedBlocks) implements CompletionEvent {}

    /**
     * One answer token.
     *
     * @param offset the number of answer tokens before this one
     * @param text the token's text
     * @param incarnation the engine's incarnation
     * @param weightsDigest the weights that produced it
     */
    record Token(int offset, String text, long incarnation, String weightsDigest) implements CompletionEvent {}

    /**
     * The answer is complete.
     *
     * @param finishReason why it ends: {@code stop} or {@code length}
     * @param offset the number of tokens in the whole answer
     * @param promptTokens the prompt's length in tokens
     * @param cachedTokens the number of prompt tokens taken from the cache
     */
    record End(String finishReason, int offset, int promptTokens, int cachedTokens) implements CompletionEvent {}
}

package org.geraniumford.standins.engine;

/** The events of an answer, as they are written in JSON. */
public sealed interface CompletionEvent {
    /**
     * The prefill begins.
     *
     * @param kind {@code started}
     * @param incarnation the engine's incarnation
     * @param weightsDigest the weights that answer
     * @param cachedPieces the pieces taken from the cache
     * @param pieces the prompt's pieces
     */
    record Started(String kind, long incarnation, String weightsDigest, int cachedPieces, int pieces)
            implements CompletionEvent {}

    /**
     * One answer token.
     *
     * @param kind {@code token}
     * @param offset the number of answer tokens before it
     * @param text its text
     * @param incarnation the engine's incarnation
     * @param weightsDigest the weights that answer
     */
    record Token(String kind, int offset, String text, long incarnation, String weightsDigest)
            implements CompletionEvent {}

    /**
     * The answer is complete.
     *
     * @param kind {@code end}
     * @param finishReason {@code stop} or {@code length}
     * @param offset the number of answer tokens
     * @param promptTokens the prompt's length
     * @param cachedTokens the prompt tokens taken from the cache
     */
    record End(String kind, String finishReason, int offset, int promptTokens, int cachedTokens)
            implements CompletionEvent {}
}

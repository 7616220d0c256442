package org.geraniumford.transport.engine;

/** One event of a completion's response stream. */
public sealed interface CompletionEvent {
    /**
     * The engine has started the prefill.
     *
     * @param incarnation the engine's incarnation
     * @param weightsDigest the digest of the weights that produce the response
     * @param cachedBlocks the number of prompt blocks found in the prefix cache
     */
    record Started(long incarnation, String weightsDigest, int cachedBlocks) implements CompletionEvent {}

    /**
     * One token of the response.
     *
     * @param offset the number of output tokens before this one
     * @param text the token's text
     * @param incarnation the engine's incarnation
     * @param weightsDigest the digest of the weights that produced the token
     */
    record Token(int offset, String text, long incarnation, String weightsDigest) implements CompletionEvent {}

    /**
     * The response is complete.
     *
     * @param finishReason the reason for the end: {@code stop} or {@code length}
     * @param offset the number of output tokens in the whole response
     * @param promptTokens the prompt's length in tokens
     * @param cachedTokens the number of prompt tokens found in the prefix cache
     */
    record End(String finishReason, int offset, int promptTokens, int cachedTokens) implements CompletionEvent {}
}

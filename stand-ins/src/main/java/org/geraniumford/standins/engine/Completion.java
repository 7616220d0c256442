package org.geraniumford.standins.engine;

/** A request in the engine and its progress. */
final class Completion {
    private final CompletionRequest request;
    private final CompletionSink sink;
    private final long arrivalOrder;
    private final OutputTokens outputTokens;
    private int cachedBlocks;
    /** The number of output tokens already sent, including those before the resume offset. */
    private int offset;

    Completion(CompletionRequest request, CompletionSink sink, long arrivalOrder) {
        this.request = request;
        this.sink = sink;
        this.arrivalOrder = arrivalOrder;
        this.outputTokens = OutputTokens.of(request.prompt(), request.weightsDigest());
        this.offset = request.resumeOffset();
    }

    // -- queries

    CompletionRequest request() {
        return request;
    }

    CompletionSink sink() {
        return sink;
    }

    int priority() {
        return request.priority();
    }

    long arrivalOrder() {
        return arrivalOrder;
    }

    int cachedBlocks() {
        return cachedBlocks;
    }

    boolean isComplete() {
        return offset >= request.maxTokens();
    }

    // -- commands

    /**
     * Starts the prefill, given the number of leading prompt blocks that are cached. Returns the number of tokens to
     * compute: the uncached prompt tokens and the output tokens before the resume offset.
     */
    int start(int matchedBlocks) {
        cachedBlocks = matchedBlocks;
        sink.started(matchedBlocks);
        return request.tokens(matchedBlocks, request.pieceKeys().size()) + request.resumeOffset();
    }

    /** Sends the next output token, unless the output is complete or the connection is not writable. */
    void emitToken() {
        if (!isComplete() && sink.isWritable()) {
            sink.token(offset, outputTokens.token(offset));
            offset++;
        }
    }

    void finish() {
        sink.completed(Math.max(offset, request.resumeOffset()), request.tokens(0, cachedBlocks));
    }
}

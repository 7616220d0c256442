package org.geraniumford.standins.engine;

/** A request inside the engine. */
final class Completion {
    private final CompletionRequest request;
    private final CompletionSink sink;
    private final long arrivalOrder;
    private final OutputTokens outputTokens;
    private int cachedBlocks;
    private int offset;

    Completion(CompletionRequest request, CompletionSink sink, long arrival) {
        this.request = request;
        this.sink = sink;
        this.arrivalOrder = arrival;
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

    /** Begins the prefill and returns the number of tokens to compute: prompt and answer so far. */
    int start(int matchedPieces) {
        cachedBlocks = matchedPieces;
        sink.started(matchedPieces);
        return request.tokens(matchedPieces, request.pieceKeys().size()) + request.resumeOffset();
    }

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

package org.geraniumford.standins.engine;

/** A request inside the engine. */
final class Completion {
    private final CompletionRequest request;
    private final CompletionSink sink;
    private final long arrival;
    private final AnswerTokens answer;
    private int cachedPieces;
    private int offset;

    Completion(CompletionRequest request, CompletionSink sink, long arrival) {
        this.request = request;
        this.sink = sink;
        this.arrival = arrival;
        this.answer = AnswerTokens.of(request.prompt(), request.weightsDigest());
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

    long arrival() {
        return arrival;
    }

    int cachedPieces() {
        return cachedPieces;
    }

    boolean complete() {
        return offset >= request.maxTokens();
    }

    // -- commands

    /** Begins the prefill and returns the number of tokens to compute: prompt and answer so far. */
    int start(int matchedPieces) {
        cachedPieces = matchedPieces;
        sink.started(matchedPieces);
        return request.tokens(matchedPieces, request.pieceKeys().size()) + request.resumeOffset();
    }

    void emitToken() {
        if (!complete() && sink.writable()) {
            sink.token(offset, answer.token(offset));
            offset++;
        }
    }

    void finish() {
        sink.end(Math.max(offset, request.resumeOffset()), request.tokens(0, cachedPieces));
    }
}

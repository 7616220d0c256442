package org.geraniumford.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;

/** Receives a server's response to one request. Called on the network thread, which must not block. */
public interface ResponseListener {
    /**
     * Returns whether a response belongs to the request. One that does not is discarded, and the next one is read.
     *
     * @param head the response's status and header fields
     * @return false for a late response to an earlier request
     */
    boolean accepts(HttpResponse head);

    /**
     * Called with the head of an interim response, which precedes the response.
     *
     * @param head the status, from 102 to 199 or 100, and header fields
     */
    default void interim(HttpResponse head) {
        // Most requests need only the final response.
    }

    /**
     * Called with the head of the response.
     *
     * @param head the status and header fields
     */
    void head(HttpResponse head);

    /**
     * Called for each chunk of the body.
     *
     * @param chunk the next bytes of the body; released by the connection after the call
     */
    void content(ByteBuf chunk);

    /**
     * Returns for how long nothing must follow the last byte of the body before {@link #end} is called, because what
     * follows may show that the body was broken off. Asked after the last byte of the body and after each
     * {@link #surplus}.
     *
     * @return the time since the last byte that was received; zero if the response is complete
     */
    default Duration silenceBeforeEnd() {
        return Duration.ZERO;
    }

    /**
     * Called before {@link #end} with the next bytes that follow the response.
     *
     * @param bytes the bytes, which may continue what the body ends with; released by the connection after the call
     */
    default void surplus(ByteBuf bytes) {
        // Bytes after a complete response belong to no request.
    }

    /** Called at the end of a complete response. */
    void end();

    /**
     * Called when the connection ends, or sends what is not HTTP, before the response is complete.
     *
     * @param reason the cause as a text for the log
     */
    void failed(String reason);

    /**
     * Called in place of {@link #failed} when the connection ends before the response is complete.
     *
     * @param reason the cause as a text for the log
     */
    default void closed(String reason) {
        failed(reason);
    }
}

package org.geraniumford.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request from a backend server. Called on the network thread. */
public interface ResponseListener {
    /**
     * Says whether an answer belongs to the request; one that does not is dropped, and the next one is awaited.
     *
     * @param head the answer's head
     * @return false for a late answer to an earlier request
     */
    boolean accepts(HttpResponse head);

    /**
     * Takes the head of the answer.
     *
     * @param head the status and header fields
     */
    void head(HttpResponse head);

    /**
     * Takes a part of the body.
     *
     * @param part the next bytes; released by the caller
     */
    void content(ByteBuf part);

    /** Takes the end of a complete answer. */
    void end();

    /**
     * Takes the end of the connection before a complete answer.
     *
     * @param reason why, for the log
     */
    void failed(String reason);
}

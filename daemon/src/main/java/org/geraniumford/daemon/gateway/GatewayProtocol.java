package org.geraniumford.daemon.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalInt;
import org.geraniumford.core.verdict.Refusal;

/** Translates between the header fields of an installation and the gateway's types. */
public interface GatewayProtocol {
    /**
     * Reads a caller's request.
     *
     * @param request the request
     * @return what it says, or what is wrong with it
     */
    DecodeResult decode(FullHttpRequest request);

    /**
     * Writes the request for a backend server.
     *
     * @param request the caller's request, which stays as it is
     * @param dispatch how it is sent
     * @return a request with a body of its own reference
     */
    FullHttpRequest encode(FullHttpRequest request, Dispatch dispatch);

    /**
     * Reads the head of a backend server's answer.
     *
     * @param head the head
     * @param requestId the request that an answer is awaited for
     * @return what it says
     */
    ResponseKind classify(HttpResponse head, String requestId);

    /**
     * Reads the version of the weights that answered.
     *
     * @param head the head of an answer
     * @return the version, or empty if the answer does not tell
     */
    OptionalInt weightsVersion(HttpResponse head);

    /**
     * Writes the head of an answer for the caller.
     *
     * @param head the backend server's head
     * @return a head without the fields that concern only the connection to the backend server
     */
    HttpResponse forwardHead(HttpResponse head);

    /**
     * Writes a refusal or failure of the router's own.
     *
     * @param refusal why, and when to come back
     * @param requestId the request; empty if it has none
     * @return a complete answer
     */
    FullHttpResponse encodeRefusal(Refusal refusal, String requestId);
}

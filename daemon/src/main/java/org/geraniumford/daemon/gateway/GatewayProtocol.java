package org.geraniumford.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.geraniumford.core.verdict.Refusal;

/** Translates between the header fields of a deployment and the types of the gateway. */
public interface GatewayProtocol {
    /**
     * Decodes the request of a caller.
     *
     * @param request the request as received
     * @return the decoded request, or a description of what is wrong with it
     */
    DecodeResult decode(FullHttpRequest request);

    /**
     * Returns the id of a request for the log.
     *
     * @param request the request, which may be malformed
     * @return the id; empty if the request has none
     */
    String requestId(FullHttpRequest request);

    /**
     * Encodes the request to a backend server.
     *
     * @param request the caller's request, which is not modified
     * @param dispatch how the request is sent
     * @return a new request that shares the body of {@code request} and holds its own reference to it
     */
    FullHttpRequest encode(FullHttpRequest request, Dispatch dispatch);

    /**
     * Classifies the head of a backend server's response.
     *
     * @param head the status and header fields
     * @param requestId the id of the request whose response is awaited
     * @return the kind of response
     */
    ResponseKind classify(HttpResponse head, String requestId);

    /**
     * Returns the id of the request that a response names.
     *
     * @param head the head of the response
     * @return the id, or empty if the response names none
     */
    Optional<String> responseId(HttpResponse head);

    /**
     * Returns the names of the fields by which a backend server's response names its request or is signed. A body that
     * holds one of them behind a status line holds another response.
     *
     * @return the names in lower case
     */
    Set<String> identifyingFields();

    /**
     * Returns the version of the weights that the server had loaded when it responded.
     *
     * @param head the head of the response
     * @return the version, or empty if the response does not state it
     */
    OptionalInt weightsVersion(HttpResponse head);

    /**
     * Returns what a response says of its server's limit.
     *
     * @param head the head of the response, which may be an interim one
     * @return the limit that it names; the last one if there are several
     */
    ServerLimitField serverLimit(HttpResponse head);

    /**
     * Returns whether a response says that its server leaves.
     *
     * @param head the head of the response, which may be an interim one
     * @return true if it says so
     */
    boolean saysLeaving(HttpResponse head);

    /**
     * Returns what a rejection says of the time for which its server wants no other requests.
     *
     * @param head the head of the response
     * @return the pause that it asks for
     */
    ServerPauseField serverPause(HttpResponse head);

    /**
     * Builds the head of the caller's response from that of the backend server.
     *
     * @param head the head that the backend server sent
     * @return a head without the length of the body and without the fields that are meant for this entry only
     */
    HttpResponse forwardHead(HttpResponse head);

    /**
     * Returns a backend server's complete response as it is sent to the caller.
     *
     * @param head the status and header fields that the backend server sent
     * @param body the body, which the returned response releases
     * @return a new response
     */
    default FullHttpResponse forwardResponse(HttpResponse head, ByteBuf body) {
        FullHttpResponse response = new DefaultFullHttpResponse(head.protocolVersion(), head.status(), body);
        response.headers().set(forwardHead(head).headers());
        return response;
    }

    /**
     * Encodes a refusal or failure of the router as a response.
     *
     * @param refusal the reason, the verdict and the retry-after
     * @param requestId the id of the request; an empty string if it has none
     * @return a complete response
     */
    FullHttpResponse encodeRefusal(Refusal refusal, String requestId);
}

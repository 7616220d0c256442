package org.geraniumford.daemon.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.geraniumford.core.fleet.ServerState;

/** Applies what the heads of responses to one request say of the server itself. */
final class ServerFields {
    private final Gateway gateway;
    private final ServerState server;
    private final String requestId;

    private ServerFields(Gateway gateway, ServerState server, String requestId) {
        this.gateway = gateway;
        this.server = server;
        this.requestId = requestId;
    }

    // -- construction

    static ServerFields of(Gateway gateway, ServerState server, String requestId) {
        return new ServerFields(gateway, server, requestId);
    }

    // -- commands

    /**
     * Applies the head of the final response. A misdirected request was answered by another server, or may be; an
     * untrusted response may answer another request.
     */
    void applyFinal(HttpResponse head, ResponseKind kind) {
        if (kind == ResponseKind.MISDIRECTED || kind == ResponseKind.AMBIGUOUS) {
            return;
        }
        applyLimit(head, kind == ResponseKind.FORWARDABLE);
        if (kind != ResponseKind.UNTRUSTED) {
            applyLeaving(head);
        }
        if (kind == ResponseKind.NOT_RUN) {
            gateway.state()
                    .serverAvailability()
                    .applyPause(server.server(), gateway.protocol().serverPause(head), requestId);
        }
    }

    /** Applies the head of an interim response. */
    void applyInterim(HttpResponse head) {
        applyLimit(head, false);
        if (gateway.protocol()
                .responseId(head)
                .filter(id -> !id.equals(requestId))
                .isEmpty()) {
            applyLeaving(head);
        }
    }

    private void applyLimit(HttpResponse head, boolean liftsLimit) {
        gateway.state()
                .serverLimits()
                .applyResponse(server, gateway.protocol().serverLimit(head), liftsLimit, requestId);
    }

    private void applyLeaving(HttpResponse head) {
        if (gateway.protocol().saysLeaving(head)) {
            gateway.state().serverAvailability().recordLeaving(server.server(), requestId);
        }
    }
}

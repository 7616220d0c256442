package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import java.util.OptionalLong;
import org.geraniumford.core.quarantine.RequestKeys;
import org.geraniumford.core.quarantine.SegmentKeys;
import org.geraniumford.core.service.ApiCustomer;

/** The keys by which a request and the segments of its prompt are known to the quarantine. */
final class SuspectRequest {
    private final AdmittedRequest admitted;
    private final FullHttpRequest message;
    private final List<Long> segments;
    /** The key of the request; empty until it is needed for the first time. */
    private OptionalLong key = OptionalLong.empty();

    private SuspectRequest(AdmittedRequest admitted, FullHttpRequest message) {
        this.admitted = admitted;
        this.message = message;
        this.segments = admitted.request().prompt().map(SegmentKeys::shared).orElse(List.of());
    }

    // -- construction

    /**
     * Returns the keys of a request.
     *
     * @param admitted the request
     * @param message the message of the caller; its body is read while the request is in progress
     */
    static SuspectRequest of(AdmittedRequest admitted, FullHttpRequest message) {
        return new SuspectRequest(
                requireNonNull(admitted, "admitted is null"), requireNonNull(message, "message is null"));
    }

    // -- queries

    /** Returns the keys of the shared segments; empty without a prompt. */
    List<Long> segments() {
        return segments;
    }

    /** Returns the key of the request and those of the shared segments. */
    RequestKeys keys() {
        return new RequestKeys(segments, OptionalLong.of(key()));
    }

    /** Returns the key of the request. */
    long key() {
        if (key.isEmpty()) {
            key = OptionalLong.of(RequestKeys.request(
                    admitted.customer().map(ApiCustomer::name).orElse(""),
                    message.method().name(),
                    message.uri(),
                    admitted.request().prompt(),
                    message.content().nioBuffer()));
        }
        return key.getAsLong();
    }
}

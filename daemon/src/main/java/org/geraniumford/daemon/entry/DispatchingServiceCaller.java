package org.geraniumford.daemon.entry;

import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.wire.Message;

/**
 * Hands calls that may be repeated to one caller and all others to another.
 *
 * @param idempotent makes calls that may be repeated
 * @param atMostOnce makes calls that may not
 */
record DispatchingServiceCaller(ServiceCaller idempotent, ServiceCaller atMostOnce) implements ServiceCaller {
    // -- commands

    @Override
    public CompletableFuture<Message.CallResponse> call(ServiceRequest request) {
        boolean repeatable = request.service().isIdempotent(request.method());
        return repeatable ? idempotent.call(request) : atMostOnce.call(request);
    }
}

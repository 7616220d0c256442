package org.geraniumford.daemon.entry;

import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.wire.Message;

/**
 * Dispatches calls by whether their HTTP method is idempotent at the service.
 *
 * @param idempotent makes calls that may run more than once
 * @param atMostOnce makes all other calls
 */
record DispatchingServiceCaller(ServiceCaller idempotent, ServiceCaller atMostOnce) implements ServiceCaller {
    // -- commands

    @Override
    public CompletableFuture<Message.CallResponse> call(ServiceRequest request) {
        boolean isIdempotent = request.service().isIdempotent(request.method());
        return isIdempotent ? idempotent.call(request) : atMostOnce.call(request);
    }
}

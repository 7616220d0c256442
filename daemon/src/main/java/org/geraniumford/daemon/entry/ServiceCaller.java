package org.geraniumford.daemon.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.configuration.PlainService;
import org.geraniumford.core.wire.Message;

/** Calls plain services on behalf of callers. */
public interface ServiceCaller {
    /**
     * A call as a caller requested it.
     *
     * @param requestId the request's identifier, unique across all entries
     * @param customer the customer that the caller belongs to
     * @param service the service to call
     * @param method the HTTP method
     * @param path the path and query on the service
     * @param contentType the value of the {@code Content-Type} header field; empty if the request has none
     * @param body the body; empty if there is none
     * @param idempotencyKey the caller's idempotency key; empty if the request has none
     */
    record ServiceRequest(
            String requestId,
            Customer customer,
            PlainService service,
            String method,
            String path,
            String contentType,
            String body,
            Optional<String> idempotencyKey) {}

    /**
     * Makes a call.
     *
     * @param request the call
     * @return completes with the service's response, or exceptionally with a {@code RefusalException} whose verdict
     *     states whether the call may have run
     */
    CompletableFuture<Message.CallResponse> call(ServiceRequest request);
}

package org.geraniumford.daemon.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.core.configuration.PlainService;
import org.geraniumford.core.wire.Message;

/** Makes the calls of plain services for callers. */
public interface ServiceCaller {
    /**
     * One call as a caller asked for it.
     *
     * @param requestId the request's identifier
     * @param customer whose caller asks
     * @param service the service
     * @param method the HTTP method
     * @param path the path and query on the service
     * @param contentType the body's media type; empty if there is no body
     * @param body the body
     * @param idempotencyKey the caller's key; empty if it gave none
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
     * @return the service's answer, or a failure with a true verdict
     */
    CompletableFuture<Message.CallResponse> call(ServiceRequest request);
}

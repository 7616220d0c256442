package org.geraniumford.daemon.entry;

import org.geraniumford.core.configuration.Configuration;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.transport.http.HttpExchange;

/**
 * A model request whose caller is authenticated and whose body has not been parsed yet.
 *
 * @param requestId the request's identifier, unique across all entries
 * @param exchange the HTTP exchange, which holds the body and carries the response
 * @param format the API format of the requested path
 * @param customer the customer that the caller belongs to
 * @param configuration the configuration in force when the request arrived
 * @param acceptedNanos the time of arrival, as of {@link System#nanoTime}
 */
record AuthenticatedRequest(
        String requestId,
        HttpExchange exchange,
        CompletionFormat format,
        Customer customer,
        Configuration configuration,
        long acceptedNanos) {}

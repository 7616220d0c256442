package org.geraniumford.daemon.entry;

import org.geraniumford.core.configuration.Configuration;
import org.geraniumford.core.configuration.Customer;
import org.geraniumford.transport.http.HttpExchange;

/**
 * A model request whose caller is known and whose body is not read yet.
 *
 * @param requestId its identifier
 * @param exchange the way to answer it
 * @param format what its path takes
 * @param customer whose caller sent it
 * @param configuration the configuration in force when it came
 * @param acceptedNanos when it came
 */
record AuthenticatedRequest(
        String requestId,
        HttpExchange exchange,
        CompletionFormat format,
        Customer customer,
        Configuration configuration,
        long acceptedNanos) {}

package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.geraniumford.core.prompt.PromptSpec;

/**
 * A decoded request of a caller, without its body.
 *
 * @param id the id that the caller gave to the request
 * @param host the host name that the request is addressed to, in any case, with or without a port
 * @param path the path, without the query
 * @param apiKey the API key; empty if the request has none or several
 * @param timeout how long the caller waits, counted from when the header fields were read; empty if the request states
 *     no readable time
 * @param prompt the model, size and segments of the prompt; empty if the request does not describe one, as for a plain
 *     service
 * @param position what the caller has of a stream that it takes up again; empty for a request that begins
 */
public record InboundRequest(
        String id,
        String host,
        String path,
        Optional<String> apiKey,
        Optional<Duration> timeout,
        Optional<PromptSpec> prompt,
        Optional<StreamPosition> position) {
    /** Checks the components. */
    public InboundRequest {
        requireNonNull(id, "id is null");
        requireNonNull(host, "host is null");
        requireNonNull(path, "path is null");
        requireNonNull(apiKey, "apiKey is null");
        requireNonNull(timeout, "timeout is null");
        requireNonNull(prompt, "prompt is null");
        requireNonNull(position, "position is null");
    }
}

package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.geraniumford.core.prompt.PromptSpec;

/**
 * What a caller's request says, apart from its bytes.
 *
 * @param id names the request
 * @param host the host name that it is sent to
 * @param path the path without the query
 * @param apiKey the API key; empty if it bears none
 * @param timeout how long the caller waits, counted from the request's arrival; empty if it does not tell
 * @param prompt the prompt's shape; empty for a plain call
 */
public record InboundRequest(
        String id,
        String host,
        String path,
        Optional<String> apiKey,
        Optional<Duration> timeout,
        Optional<PromptSpec> prompt) {
    /** Checks the components. */
    public InboundRequest {
        requireNonNull(id, "id is null");
        requireNonNull(host, "host is null");
        requireNonNull(path, "path is null");
        requireNonNull(apiKey, "key is null");
        requireNonNull(timeout, "timeLeft is null");
        requireNonNull(prompt, "prompt is null");
    }
}

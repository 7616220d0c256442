package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What a request asks of a backend server.
 *
 * @param service the service that must run it
 * @param failureDomain where the entry stands
 * @param requestBytes the size of the request, which is dear to send far
 * @param prompt the prompt within the scope of the newest weights; empty for a plain call
 * @param newestWeightsVersion the newest version named for the prompt's model; 0 if none is known
 * @param minWeightsVersion the oldest version of the weights on which the request may begin; 0 if any may do
 * @param firstUnsavedSegment the key of the first shared part that no engine is known to have read; empty if there is
 *     none
 * @param fetchable true if an engine can fetch the shared parts that it lacks
 * @param excluded the servers that have been tried
 */
public record ServerQuery(
        String service,
        String failureDomain,
        int requestBytes,
        Optional<ScopedPrompt> prompt,
        int newestWeightsVersion,
        int minWeightsVersion,
        OptionalLong firstUnsavedSegment,
        boolean fetchable,
        Set<String> excluded) {
    /** Checks and copies the components. */
    public ServerQuery {
        requireNonNull(service, "service is null");
        requireNonNull(failureDomain, "failureDomain is null");
        requireNonNull(prompt, "prompt is null");
        requireNonNull(firstUnsavedSegment, "unknownPart is null");
        excluded = Set.copyOf(excluded);
    }
}

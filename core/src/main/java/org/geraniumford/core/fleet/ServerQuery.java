package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The requirements that a request places on its backend server.
 *
 * @param service the name of the service that must run the request
 * @param failureDomain the entry's failure domain
 * @param requestBytes the size of the request body in bytes, which determines the cost of sending it to another failure
 *     domain
 * @param prompt the prompt, with the keys of its segments in the scope of the newest weights; empty if the request has
 *     none
 * @param newestWeightsVersion the newest version of the weights of the prompt's model that is published or loaded by a
 *     server; 0 if none is known
 * @param minWeightsVersion the oldest version of the weights on which the request may start; 0 if any version is
 *     allowed
 * @param firstUnsavedSegment the key of the first shared segment that is not known to be prefilled and saved; empty if
 *     there is none, or without a prompt or a cache store
 * @param targetLatency the time within which the caller expects the first bytes of the response
 * @param timeLimit how much longer the caller waits for the whole response
 * @param fetchable whether engines can fetch uncached shared segments from the cache store
 * @param excluded the names of the servers that must not be chosen, because the request has or had an attempt there;
 *     empty only for the choice of the first attempt
 * @param priority the priority of the request; 0 is the most urgent
 * @param fewestRequests whether the server with the fewest requests is preferred, because it may end under the request
 * @param yielding whether the request leaves the next place at a server with a limit to another customer
 * @param softwareVersion the version of the software of the server that began the stream, at which alone it may go on;
 *     empty for a request that begins
 */
public record ServerQuery(
        String service,
        String failureDomain,
        int requestBytes,
        Optional<ScopedPrompt> prompt,
        int newestWeightsVersion,
        int minWeightsVersion,
        OptionalLong firstUnsavedSegment,
        Duration targetLatency,
        Duration timeLimit,
        boolean fetchable,
        Set<String> excluded,
        int priority,
        boolean fewestRequests,
        boolean yielding,
        Optional<String> softwareVersion) {
    /** Checks and copies the components. */
    public ServerQuery {
        requireNonNull(service, "service is null");
        requireNonNull(failureDomain, "failureDomain is null");
        requireNonNull(prompt, "prompt is null");
        requireNonNull(firstUnsavedSegment, "firstUnsavedSegment is null");
        requireNonNull(targetLatency, "targetLatency is null");
        requireNonNull(timeLimit, "timeLimit is null");
        requireNonNull(softwareVersion, "softwareVersion is null");
        excluded = Set.copyOf(excluded);
    }

    // -- construction

    /** Creates the requirements of a request that begins, at whatever version of the servers' software. */
    ServerQuery(
            String service,
            String failureDomain,
            int requestBytes,
            Optional<ScopedPrompt> prompt,
            int newestWeightsVersion,
            int minWeightsVersion,
            OptionalLong firstUnsavedSegment,
            Duration targetLatency,
            Duration timeLimit,
            boolean fetchable,
            Set<String> excluded,
            int priority,
            boolean fewestRequests,
            boolean yielding) {
        this(
                service,
                failureDomain,
                requestBytes,
                prompt,
                newestWeightsVersion,
                minWeightsVersion,
                firstUnsavedSegment,
                targetLatency,
                timeLimit,
                fetchable,
                excluded,
                priority,
                fewestRequests,
                yielding,
                Optional.empty());
    }

    // -- combinators

    /**
     * Returns the requirements of the same request when it goes on at the server that holds a backup of its memory. It
     * then belongs to the run that has begun: that run's weights were allowed, and its place was given to its customer.
     *
     * @return a new query
     */
    public ServerQuery asResumptionAtBackup() {
        return new ServerQuery(
                service,
                failureDomain,
                requestBytes,
                prompt,
                newestWeightsVersion,
                0,
                firstUnsavedSegment,
                targetLatency,
                timeLimit,
                fetchable,
                Set.of(),
                priority,
                fewestRequests,
                false,
                softwareVersion);
    }
}

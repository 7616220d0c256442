package org.geraniumford.daemon.operator;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/**
 * The status of a host, as seen by a process that is connected to it.
 *
 * @param name the host's name
 * @param kind the role of its process in lower case, such as {@code sidecar}
 * @param address its link address, as host and port
 * @param failureDomain its failure domain
 * @param connected whether the link to it is open; a host whose link has closed is then removed
 * @param leaving whether it refuses new work, as it last reported; false if it has not reported its state
 * @param incarnation the incarnation of its process; 0 if not known
 * @param backendIncarnation the incarnation of its backend server; 0 if not known or down
 * @param configurationVersion the configuration version that it last reported; 0 if not known, and always 0 in the
 *     status of an entry
 * @param estimatedWaitMicros the queue wait that it last reported, in microseconds; 0 if not known
 */
@JsonIgnoreProperties(ignoreUnknown = true)
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record HostStatus(
        String name,
        String kind,
        String address,
        String failureDomain,
        boolean connected,
        boolean leaving,
        long incarnation,
        long backendIncarnation,
        long configurationVersion,
        long estimatedWaitMicros) {
    /** Checks the components. */
    public HostStatus {
        requireNonNull(name, "name is null");
        requireNonNull(kind, "kind is null");
        requireNonNull(address, "address is null");
        requireNonNull(failureDomain, "failureDomain is null");
    }
}

package org.geraniumford.daemon.operator;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/**
 * What one process knows of another host.
 *
 * @param name the host's name
 * @param kind what runs on it, in lower case
 * @param address its link address
 * @param failureDomain its failure domain
 * @param connected whether a link to it is open
 * @param leaving whether it takes no new work
 * @param incarnation the incarnation of its process; 0 if not known
 * @param backendIncarnation the incarnation of its backend server; 0 if not known or down
 * @param configurationVersion the configuration version that it named last; 0 if not known
 * @param estimatedWaitMicros the wait that it named last, in microseconds
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

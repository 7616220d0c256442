package org.geraniumford.daemon.operator;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.List;

/**
 * The status of a process.
 *
 * @param process the name of the process
 * @param role {@code entry} or {@code sidecar}
 * @param failureDomain its failure domain; empty if not known
 * @param incarnation the time of its start, in microseconds since the epoch
 * @param ready whether it takes new work
 * @param leaving whether it refuses new work because it drains or, for a sidecar, because the platform lists its host
 *     as leaving or its engine has an order to carry out
 * @param configurationVersion the configuration version in force; 0 before the first one
 * @param running the number of requests that have not ended, without those that {@code waiting} counts
 * @param waiting the number of requests that wait in a sidecar for its backend server; 0 for an entry
 * @param backendIncarnation the incarnation of a sidecar's backend server; 0 for an entry or while it is down
 * @param hosts the status of the hosts to which an entry is connected; empty for a sidecar
 */
@JsonIgnoreProperties(ignoreUnknown = true)
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record ProcessStatus(
        String process,
        String role,
        String failureDomain,
        long incarnation,
        boolean ready,
        boolean leaving,
        long configurationVersion,
        int running,
        int waiting,
        long backendIncarnation,
        List<HostStatus> hosts) {
    /** Checks the components and copies the list. */
    public ProcessStatus {
        requireNonNull(process, "process is null");
        requireNonNull(role, "role is null");
        failureDomain = failureDomain == null ? "" : failureDomain;
        hosts = hosts == null ? List.of() : List.copyOf(hosts);
    }
}

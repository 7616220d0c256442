package org.geraniumford.daemon.sidecar;

import java.util.List;
import java.util.function.LongSupplier;
import org.geraniumford.daemon.operator.ProcessStatus;

/**
 * The properties of a sidecar that do not change while it runs, and the supplier of its configuration version.
 *
 * @param processId the process's name
 * @param failureDomain its failure domain
 * @param service the name of the plain service; empty for a model engine
 * @param incarnation its incarnation: its start, in microseconds since the epoch
 * @param configurationVersion supplies the version of the configuration in force
 */
record SidecarIdentity(
        String processId, String failureDomain, String service, long incarnation, LongSupplier configurationVersion) {
    /**
     * Returns the status of the process. It is ready while its backend server is up and it is not leaving.
     *
     * @param backend the state of the backend server, as last observed
     * @param leaving whether the sidecar takes no new work
     * @param running the number of requests and calls at the backend server
     * @param waiting the number of requests that wait in the sidecar
     */
    ProcessStatus status(BackendState backend, boolean leaving, int running, int waiting) {
        return new ProcessStatus(
                processId,
                "sidecar",
                failureDomain,
                incarnation,
                backend.isUp() && !leaving,
                leaving,
                configurationVersion.getAsLong(),
                running,
                waiting,
                backend.incarnation(),
                List.of());
    }
}

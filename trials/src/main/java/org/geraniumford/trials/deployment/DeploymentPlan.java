package org.geraniumford.trials.deployment;

import java.nio.file.Path;
import java.util.List;

/**
 * What a deployment consists of.
 *
 * @param configuration the operators' folder to apply; its files end in {@code .ini}
 * @param runners the model runners
 * @param services the names of the plain services, one host each
 * @param entryCount the number of entries
 * @param failureDomains the failure domains over which entries and services are spread
 * @param entrySettings further lines of the entries' settings files
 * @param sidecarSettings further lines of the sidecars' settings files
 */
public record DeploymentPlan(
        Path configuration,
        List<RunnerPlan> runners,
        List<String> services,
        int entryCount,
        List<String> failureDomains,
        List<String> entrySettings,
        List<String> sidecarSettings) {
    /** Copies the lists. */
    public DeploymentPlan {
        runners = List.copyOf(runners);
        services = List.copyOf(services);
        failureDomains = List.copyOf(failureDomains);
        entrySettings = List.copyOf(entrySettings);
        sidecarSettings = List.copyOf(sidecarSettings);
    }

    // -- queries

    /**
     * Chooses a failure domain for the host of a number.
     *
     * @param number the host's number, from 0
     * @return one of the failure domains, in turn
     */
    public String failureDomain(int number) {
        return failureDomains.get(number % failureDomains.size());
    }
}

package org.geraniumford.trials.deployment;

import java.nio.file.Path;
import java.util.List;

/**
 * The processes and the configuration of a deployment.
 *
 * @param configuration the operators' configuration folder to apply; its files end in {@code .ini}
 * @param runners the model runners
 * @param services the names of the plain services; each has one host
 * @param entryCount the number of entries
 * @param failureDomains the failure domains to which entries and services are assigned in turn
 * @param entrySettings lines to append to the entries' settings files
 * @param sidecarSettings lines to append to the sidecars' settings files
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
     * Returns the failure domain of the entry or service with a number.
     *
     * @param number the number of the entry or service, from 0
     * @return the failure domain at that number, modulo the number of failure domains
     */
    public String failureDomain(int number) {
        return failureDomains.get(number % failureDomains.size());
    }
}

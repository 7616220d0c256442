package org.geraniumford.standins.platform;

/**
 * A host as it is written in JSON.
 *
 * @param name the host's unique name
 * @param kind {@code entry}, {@code runner} or {@code service}
 * @param address the address of its link
 * @param failureDomain its failure domain
 * @param state {@code live} or {@code leaving}; {@code gone} takes it off the list
 */
public record HostBody(String name, String kind, String address, String failureDomain, String state) {
    HostBody withName(String other) {
        if (kind == null || address == null || failureDomain == null || state == null) {
            throw new IllegalArgumentException("kind, address, failure_domain or state is missing");
        }
        return new HostBody(other, kind, address, failureDomain, state);
    }
}

package org.geraniumford.standins.platform;

/**
 * A host as written in JSON.
 *
 * @param name the unique name of the host; ignored in {@code PUT} requests, whose path contains the name
 * @param kind {@code entry}, {@code runner} or {@code service}
 * @param address the address at which the host accepts links, in the form {@code ADDRESS:PORT}
 * @param failureDomain the failure domain of the host
 * @param state {@code live} or {@code leaving}; {@code gone} removes the host from the list
 */
public record HostBody(String name, String kind, String address, String failureDomain, String state) {
    /** Returns a copy with another name, after checking that no other component is null. */
    HostBody withName(String newName) {
        if (kind == null || address == null || failureDomain == null || state == null) {
            throw new IllegalArgumentException("kind, address, failure_domain or state is missing");
        }
        return new HostBody(newName, kind, address, failureDomain, state);
    }
}

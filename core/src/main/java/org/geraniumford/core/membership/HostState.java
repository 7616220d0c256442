package org.geraniumford.core.membership;

/** Whether a host takes new work. */
public enum HostState {
    /** The host is in service. */
    LIVE,
    /** The host takes no new work and will be removed. */
    LEAVING
}

package org.geraniumford.core.membership;

/** Whether a host stays in service. */
public enum HostState {
    /** The host is in service. */
    LIVE,
    /** The host takes no new work and will go. */
    LEAVING
}

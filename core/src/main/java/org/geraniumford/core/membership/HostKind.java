package org.geraniumford.core.membership;

/** The kind of process that runs on a host. */
public enum HostKind {
    /** An entry. */
    ENTRY,
    /** A model runner with its sidecar. */
    RUNNER,
    /** A plain service with its sidecar. */
    SERVICE
}

package org.geraniumford.core.membership;

/** The kind of process that runs on a host. */
public enum HostKind {
    /** An entry: a process that accepts callers' requests and sends them to backend servers. */
    ENTRY,
    /** A model runner with its sidecar. */
    RUNNER,
    /** A plain service with its sidecar. */
    SERVICE
}

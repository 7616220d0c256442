package org.geraniumford.core.wire;

/** The role of a process. */
public enum Role {
    /** Accepts the callers' requests. */
    ENTRY,
    /** Runs in front of one backend server. */
    SIDECAR,
    /** An operator's command. */
    OPERATOR
}

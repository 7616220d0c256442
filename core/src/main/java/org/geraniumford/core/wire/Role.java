package org.geraniumford.core.wire;

/** What a process does. */
public enum Role {
    /** Takes the callers' requests. */
    ENTRY,
    /** Stands in front of one backend server. */
    SIDECAR,
    /** An operator's command. */
    OPERATOR
}

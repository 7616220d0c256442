package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

/**
 * A host to which an attempt may be sent.
 *
 * @param engine the host's engine
 * @param source the reason why the host is a candidate
 */
public record Candidate(ConnectedEngine engine, Source source) {
    /** The reason why a host is a candidate. */
    public enum Source {
        /** The host is the first in the rendezvous order of a shared prefix. */
        PREFIX,
        /** The host follows in the rendezvous order of a shared prefix whose first host is busy. */
        REPLICA,
        /** The host last served a prefix of the prompt. */
        HINT,
        /** The host has the shorter queue of two hosts that were drawn at random for the request. */
        SPARE,
        /** The host was picked by a policy that ignores the engines' caches. */
        POLICY
    }

    /** Checks the components. */
    public Candidate {
        requireNonNull(engine, "engine is null");
        requireNonNull(source, "source is null");
    }
}

package org.geraniumford.core.routing;

import static java.util.Objects.requireNonNull;

/**
 * A host that may take an attempt.
 *
 * @param backend the host's engine
 * @param source why the host is a candidate
 */
public record Candidate(Backend backend, Source source) {
    /** Why a host is a candidate. */
    public enum Source {
        /** It comes first in the rendezvous order of a shared prefix. */
        PREFIX,
        /** It comes next in the order of a prefix whose first host is busy. */
        REPLICA,
        /** It served a prefix of the prompt last. */
        HINT,
        /** It has the shorter queue of two hosts drawn by the request. */
        SPARE,
        /** The policy looks at no cache. */
        POLICY
    }

    /** Checks the components. */
    public Candidate {
        requireNonNull(backend, "backend is null");
        requireNonNull(source, "source is null");
    }
}

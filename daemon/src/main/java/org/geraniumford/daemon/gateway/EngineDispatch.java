package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalInt;
import org.geraniumford.core.fleet.SegmentScope;

/**
 * Instructions to a model engine that are sent along with a request.
 *
 * @param scope the scope within which the segments of the prompt may be found in a cache
 * @param weightsVersion the version of the weights that the engine must have loaded; empty if it is not known
 * @param fetchFrom the address of the cache store or engine from which the engine may fetch segments, IP:PORT; empty if
 *     it fetches none
 * @param saveTo the address of the cache store in which the engine saves the segments that it prefills, IP:PORT; empty
 *     if it saves none
 * @param backUpTo the address of the engine to which the KV memory of the request is copied as it grows, IP:PORT; empty
 *     if no backup is kept
 * @param resumeFrom the address of the engine whose backup of the KV memory the request resumes from, IP:PORT; empty if
 *     the request does not resume from a backup
 */
public record EngineDispatch(
        SegmentScope scope,
        OptionalInt weightsVersion,
        Optional<String> fetchFrom,
        Optional<String> saveTo,
        Optional<String> backUpTo,
        Optional<String> resumeFrom) {
    /** Checks the components. */
    public EngineDispatch {
        requireNonNull(scope, "scope is null");
        requireNonNull(weightsVersion, "weightsVersion is null");
        requireNonNull(fetchFrom, "fetchFrom is null");
        requireNonNull(saveTo, "saveTo is null");
        requireNonNull(backUpTo, "backUpTo is null");
        requireNonNull(resumeFrom, "resumeFrom is null");
    }
}

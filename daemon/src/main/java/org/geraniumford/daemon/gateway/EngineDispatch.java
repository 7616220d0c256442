package org.geraniumford.daemon.gateway;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What a model engine is told beside the request.
 *
 * @param cacheScope the scope within which the prompt's parts may be found in a cache
 * @param weightsVersion the version of the weights that the engine must hold; empty if it is not known
 * @param fetchFrom where the engine may fetch cached parts, IP:PORT
 * @param saveTo where the engine saves the parts that it reads, IP:PORT
 * @param backUpTo the engine that the request's memory is copied to as it grows, IP:PORT
 * @param resumeFrom the engine that holds a copy of the request's memory to go on from, IP:PORT
 */
public record EngineDispatch(
        String cacheScope,
        OptionalInt weightsVersion,
        Optional<String> fetchFrom,
        Optional<String> saveTo,
        Optional<String> backUpTo,
        Optional<String> resumeFrom) {
    /** Checks the components. */
    public EngineDispatch {
        requireNonNull(cacheScope, "scope is null");
        requireNonNull(weightsVersion, "weights is null");
        requireNonNull(fetchFrom, "fetchFrom is null");
        requireNonNull(saveTo, "saveTo is null");
        requireNonNull(backUpTo, "backUpTo is null");
        requireNonNull(resumeFrom, "copyAt is null");
    }
}

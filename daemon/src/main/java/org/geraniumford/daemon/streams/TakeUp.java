package org.geraniumford.daemon.streams;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * At which version of its servers' software a stream was begun that a caller takes up again, and how that is known.
 *
 * @param version the version; empty if it is not known, so that no server may go on with the stream
 * @param basis what the answer rests on
 * @param readAgeMillis how long ago the store was read for it, in milliseconds; empty if it was not
 * @param listAgeMillis how much older than that read the entry's list of servers is, in milliseconds; empty without
 *     either of them
 */
public record TakeUp(
        Optional<String> version, TakeUpBasis basis, OptionalLong readAgeMillis, OptionalLong listAgeMillis) {
    /** Checks the components. */
    public TakeUp {
        requireNonNull(version, "version is null");
        requireNonNull(basis, "basis is null");
        requireNonNull(readAgeMillis, "readAgeMillis is null");
        requireNonNull(listAgeMillis, "listAgeMillis is null");
    }

    // -- construction

    static TakeUp withoutStore(Optional<String> version) {
        return new TakeUp(
                version,
                version.isPresent() ? TakeUpBasis.MEMORY : TakeUpBasis.STORE_SILENT,
                OptionalLong.empty(),
                OptionalLong.empty());
    }
}

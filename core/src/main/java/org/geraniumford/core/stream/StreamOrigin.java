package org.geraniumford.core.stream;

import static java.util.Objects.requireNonNull;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Where a stream was begun. Only servers of the same service and with the same version of their software may go on with
 * it.
 *
 * @param requestKey the key of the request that brought the stream's first event, by {@link #key}
 * @param service the name of the service
 * @param softwareVersion the version of the software of the server that sent the first event; empty if its listing
 *     names none
 * @param begunMillis when the first event arrived, in milliseconds of the clock that all entries share
 */
public record StreamOrigin(long requestKey, String service, String softwareVersion, long begunMillis) {
    /** Checks the components. */
    public StreamOrigin {
        requireNonNull(service, "service is null");
        requireNonNull(softwareVersion, "softwareVersion is null");
    }

    // -- queries

    /**
     * Returns the key of a request.
     *
     * @param requestId the id that the caller gave to the request
     * @return a hash of the id
     */
    public static long key(String requestId) {
        return Hashing.xxh3_64().hashBytesToLong(requestId.getBytes(StandardCharsets.UTF_8));
    }
}

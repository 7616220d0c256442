package org.geraniumford.transport.link;

import static java.util.Objects.requireNonNull;

import java.util.function.LongSupplier;
import org.geraniumford.core.wire.Message;

/**
 * The identity that a process presents on all its links.
 *
 * @param hello the first message on each connection
 * @param incarnation the process's start time in microseconds since the epoch
 * @param configurationVersion supplies the process's current configuration version
 */
public record LinkIdentity(Message.Hello hello, long incarnation, LongSupplier configurationVersion) {
    /** Checks the components. */
    public LinkIdentity {
        requireNonNull(hello, "hello is null");
        requireNonNull(configurationVersion, "configurationVersion is null");
    }
}

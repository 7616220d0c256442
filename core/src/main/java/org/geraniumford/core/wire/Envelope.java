package org.geraniumford.core.wire;

import static java.util.Objects.requireNonNull;

/**
 * A message with what every message carries about its sender.
 *
 * @param incarnation the sender's start, in microseconds since the epoch; larger is later
 * @param sequence the number of this message on its connection, from 1
 * @param configurationVersion the sender's configuration version; 0 before the first one
 * @param message what is said
 */
public record Envelope(long incarnation, long sequence, long configurationVersion, Message message) {
    /** Checks the components. */
    public Envelope {
        requireNonNull(message, "message is null");
    }
}

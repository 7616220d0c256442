package org.geraniumford.core.wire;

import static java.util.Objects.requireNonNull;

/**
 * A message with the fields that every message carries about its sender.
 *
 * @param incarnation the sender's incarnation: its start time, in microseconds since the epoch; a larger value is later
 * @param sequence the number of this message on its link, from 1
 * @param configurationVersion the sender's configuration version; 0 before the first one
 * @param message the message
 */
public record Envelope(long incarnation, long sequence, long configurationVersion, Message message) {
    /** Checks that the message is not null. */
    public Envelope {
        requireNonNull(message, "message is null");
    }
}

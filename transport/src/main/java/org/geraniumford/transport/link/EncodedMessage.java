package org.geraniumford.transport.link;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import org.geraniumford.core.wire.Message;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** A message encoded once, to be sent on several links. Immutable. */
public final class EncodedMessage {
    private final MessageType type;
    private final byte[] fields;

    private EncodedMessage(MessageType type, byte[] fields) {
        this.type = type;
        this.fields = fields;
    }

    // -- construction

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return its encoding without the envelope
     */
    public static EncodedMessage of(Message message) {
        MessageType type = MessageType.of(requireNonNull(message, "message is null"));
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            type.codec().write(packer, message);
            return new EncodedMessage(type, packer.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException("a packer in memory does not fail", e);
        }
    }

    // -- queries

    MessageType type() {
        return type;
    }

    byte[] fields() {
        return fields;
    }
}

package org.geraniumford.transport.link;

import java.io.IOException;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes envelopes as the contents of frames and decodes them. */
public final class FrameCodec {
    /** The version of the link protocol. */
    public static final int PROTOCOL_VERSION = 1;

    /** The maximum length of a frame in bytes, without its length field. */
    public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    /** The length of the field with a frame's length, in bytes. */
    static final int LENGTH_BYTES = 4;

    /**
     * The number of fields before the message. The array header counts the message as one further element, although it
     * is encoded as one value for each of its fields.
     */
    private static final int HEADER_FIELD_COUNT = 5;

    private FrameCodec() {}

    // -- coding

    /**
     * Encodes an envelope.
     *
     * @param envelope the envelope
     * @return the frame's contents
     * @throws BrokenFrameException if the frame would exceed {@link #MAX_FRAME_BYTES}
     */
    public static byte[] encode(Envelope envelope) throws BrokenFrameException {
        return encode(
                envelope.incarnation(),
                envelope.sequence(),
                envelope.configurationVersion(),
                EncodedMessage.of(envelope.message()));
    }

    /**
     * Encodes an envelope around a message that is encoded already.
     *
     * @param incarnation the sender's incarnation
     * @param sequence the number of the message on its link
     * @param configurationVersion the sender's configuration version
     * @param message the message
     * @return the frame's contents
     * @throws BrokenFrameException if the frame would exceed {@link #MAX_FRAME_BYTES}
     */
    static byte[] encode(long incarnation, long sequence, long configurationVersion, EncodedMessage message)
            throws BrokenFrameException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(HEADER_FIELD_COUNT + 1);
            packer.packInt(PROTOCOL_VERSION);
            packer.packInt(message.type().code());
            packer.packLong(incarnation);
            packer.packLong(sequence);
            packer.packLong(configurationVersion);
            packer.writePayload(message.fields());
            byte[] frame = packer.toByteArray();
            if (frame.length > MAX_FRAME_BYTES) {
                throw new BrokenFrameException("a frame of " + frame.length + " bytes is too long", null);
            }
            return frame;
        } catch (BrokenFrameException e) {
            throw e;
        } catch (IOException e) {
            throw new IllegalStateException("a packer in memory does not fail", e);
        }
    }

    /**
     * Decodes an envelope.
     *
     * @param frame the frame's contents
     * @return the envelope
     * @throws BrokenFrameException if the bytes are not an envelope of this protocol version
     */
    public static Envelope decode(byte[] frame) throws BrokenFrameException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            return readEnvelope(unpacker, frame.length);
        } catch (BrokenFrameException e) {
            throw e;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new BrokenFrameException("not a MessagePack envelope", e);
        }
    }

    private static Envelope readEnvelope(MessageUnpacker unpacker, int length) throws IOException {
        if (unpacker.unpackArrayHeader() != HEADER_FIELD_COUNT + 1) {
            throw new BrokenFrameException("wrong number of header fields", null);
        }
        int protocol = unpacker.unpackInt();
        if (protocol != PROTOCOL_VERSION) {
            throw new BrokenFrameException("protocol version " + protocol + " is not " + PROTOCOL_VERSION, null);
        }
        int code = unpacker.unpackInt();
        MessageType type = MessageType.ofCode(code)
                .orElseThrow(() -> new BrokenFrameException("unknown message type " + code, null));
        long incarnation = unpacker.unpackLong();
        long sequence = unpacker.unpackLong();
        long configurationVersion = unpacker.unpackLong();
        Message message = type.codec().read(unpacker, length);
        if (unpacker.hasNext()) {
            throw new BrokenFrameException("bytes after the message", null);
        }
        return new Envelope(incarnation, sequence, configurationVersion, message);
    }
}

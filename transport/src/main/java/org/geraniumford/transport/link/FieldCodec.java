package org.geraniumford.transport.link;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads one kind of field. */
interface FieldCodec {
    /**
     * Writes a value.
     *
     * @param packer where to
     * @param value a value of this kind
     * @throws IOException if the packer fails
     */
    void write(MessagePacker packer, Object value) throws IOException;

    /**
     * Reads a value.
     *
     * @param unpacker where from
     * @param limit the frame's length in bytes, which bounds the length of lists
     * @return a value of this kind
     * @throws IOException if the bytes are not a value of this kind
     */
    Object read(MessageUnpacker unpacker, int limit) throws IOException;
}

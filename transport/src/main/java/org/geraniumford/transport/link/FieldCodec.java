package org.geraniumford.transport.link;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the fields of one type. */
interface FieldCodec {
    /**
     * Writes a value.
     *
     * @param packer the packer to write to
     * @param value a value of the codec's type
     * @throws IOException if the packer fails
     */
    void write(MessagePacker packer, Object value) throws IOException;

    /**
     * Reads a value.
     *
     * @param unpacker the unpacker to read from
     * @param limit the frame's length in bytes, which bounds the sizes of lists
     * @return a value of the codec's type
     * @throws IOException if the bytes are not a value of the codec's type
     */
    Object read(MessageUnpacker unpacker, int limit) throws IOException;
}

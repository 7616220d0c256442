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
     * @param limit the frame's length in bytes, which is also the maximum number of elements of a list
     * @return a value of the codec's type
     * @throws IOException if an enum constant is unknown, a list is too long, a record's constructor rejects the
     *     values, or the unpacker fails
     * @throws org.msgpack.core.MessagePackException if the bytes end early or hold a value of another type or range
     */
    Object read(MessageUnpacker unpacker, int limit) throws IOException;
}

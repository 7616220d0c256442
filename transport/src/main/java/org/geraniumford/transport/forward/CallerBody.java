package org.geraniumford.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a request that is being read. It grows by blocks, so that no byte is copied again and its capacity
 * exceeds its size by less than a block. Used on its network thread only.
 */
final class CallerBody {
    private static final int BLOCK_BYTES = 32 * 1024;

    /** A body of few bytes does not take a whole block. */
    private static final int FIRST_BLOCK_BYTES = 1024;

    private final List<ByteBuf> blocks = new ArrayList<>();
    private int size;
    private int capacity;

    // -- queries

    int size() {
        return size;
    }

    /** Returns the bytes of memory that the body takes. */
    int capacity() {
        return capacity;
    }

    /** Returns by how much the capacity grows if bytes are appended. */
    int growth(int bytes) {
        int free = capacity - size;
        return bytes <= free ? 0 : capacityFor(bytes - free);
    }

    private int capacityFor(int bytes) {
        if (blocks.isEmpty() && bytes <= FIRST_BLOCK_BYTES) {
            return FIRST_BLOCK_BYTES;
        }
        return (bytes + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
    }

    // -- commands

    /** Appends bytes, neither consumed nor released. */
    void append(ByteBuf content) {
        int growth = growth(content.readableBytes());
        int index = content.readerIndex();
        int fitting = Math.min(capacity - size, content.readableBytes());
        if (fitting > 0) {
            blocks.get(blocks.size() - 1).writeBytes(content, index, fitting);
        }
        if (growth > 0) {
            blocks.add(Unpooled.buffer(growth, growth)
                    .writeBytes(content, index + fitting, content.readableBytes() - fitting));
        }
        size += content.readableBytes();
        capacity += growth;
    }

    /** Returns the whole body, to be released by its receiver. This body is empty then. */
    ByteBuf take() {
        ByteBuf whole = Unpooled.wrappedBuffer(blocks.size() + 1, blocks.toArray(new ByteBuf[0]));
        blocks.clear();
        return whole;
    }

    void release() {
        blocks.forEach(ByteBuf::release);
        blocks.clear();
    }
}

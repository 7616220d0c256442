package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a response that is held in a {@link ResponseMemory} until it is complete. It grows by blocks, so that
 * nothing is copied again. Used on its network thread only.
 */
public final class HeldBody {
    private static final int BLOCK_BYTES = 64 * 1024;

    private final ResponseMemory memory;
    private final Runnable evictionListener;
    private final List<ByteBuf> blocks = new ArrayList<>();
    private long size;
    private boolean ended;

    private HeldBody(ResponseMemory memory, Runnable evictionListener) {
        this.memory = memory;
        this.evictionListener = evictionListener;
    }

    // -- construction

    static HeldBody of(ResponseMemory memory, Runnable evictionListener) {
        return new HeldBody(memory, requireNonNull(evictionListener, "evictionListener is null"));
    }

    // -- queries

    /**
     * Returns how many bytes the body has.
     *
     * @return the size in bytes; 0 after the body has ended
     */
    public long size() {
        return size;
    }

    // -- commands

    /**
     * Appends bytes. This may evict the largest body of the memory, which may be this one. Has no effect on a body that
     * has ended.
     *
     * @param chunk the next bytes; neither consumed nor released
     */
    public void append(ByteBuf chunk) {
        if (ended || !chunk.isReadable()) {
            return;
        }
        int index = chunk.readerIndex();
        while (index < chunk.writerIndex()) {
            ByteBuf block = writableBlock(chunk.writerIndex() - index);
            int count = Math.min(block.maxWritableBytes(), chunk.writerIndex() - index);
            block.writeBytes(chunk, index, count);
            index += count;
        }
        size += chunk.readableBytes();
        memory.add(this, chunk.readableBytes());
    }

    /** Returns the last block, or a new one if that is full. A body of few bytes does not take a whole block. */
    private ByteBuf writableBlock(int bytes) {
        if (blocks.isEmpty() || blocks.get(blocks.size() - 1).maxWritableBytes() == 0) {
            blocks.add(Unpooled.buffer(Math.min(bytes, BLOCK_BYTES), BLOCK_BYTES));
        }
        return blocks.get(blocks.size() - 1);
    }

    /**
     * Returns the bytes, which are then no longer held, and ends the body.
     *
     * @return the whole body, released by the caller; empty if the body has ended before
     */
    public ByteBuf take() {
        ByteBuf whole = Unpooled.wrappedBuffer(blocks.size() + 1, blocks.toArray(new ByteBuf[0]));
        blocks.clear();
        end();
        return whole;
    }

    /** Releases the bytes and ends the body. Has no effect if it has ended. */
    public void release() {
        blocks.forEach(ByteBuf::release);
        blocks.clear();
        end();
    }

    private void end() {
        memory.remove(this, size);
        size = 0;
        ended = true;
    }

    void evict() {
        release();
        evictionListener.run();
    }
}

package org.geraniumford.transport.link;

/** The bytes that one link holds in the {@link LinkMemory} of its process. Thread-safe. */
final class LinkAccount {
    private final LinkMemory memory;
    private final Runnable eviction;

    /** Guarded by the memory. */
    private long heldBytes;

    LinkAccount(LinkMemory memory, Runnable eviction) {
        this.memory = memory;
        this.eviction = eviction;
    }

    // -- queries

    /** Returns false once the link was closed, by its ends or to free its bytes. */
    boolean isOpen() {
        return memory.contains(this);
    }

    /** Returns whether long messages are not sent now. */
    boolean isMemoryScarce() {
        return memory.isScarce();
    }

    long heldBytes() {
        return heldBytes;
    }

    // -- commands

    /** Enters bytes that are about to be held. This may close links, also this one. */
    void hold(long bytes) {
        memory.hold(this, bytes);
    }

    /** Returns bytes that are no longer held. */
    void release(long bytes) {
        memory.release(this, bytes);
    }

    /** Returns all bytes. Those entered later are not counted. */
    void close() {
        memory.remove(this);
    }

    void add(long bytes) {
        heldBytes += bytes;
    }

    void evict() {
        eviction.run();
    }
}

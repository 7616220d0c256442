package org.geraniumford.transport.forward;

/** The memory that one connection of a caller takes, as a part of a {@link CallerMemory}. */
final class CallerAccount {
    private final CallerMemory memory;
    private final CallerConnection owner;
    private long undecodedBytes;
    private long headBytes;
    private long bodyBytes;
    private long unsentBytes;
    private boolean closed;

    private CallerAccount(CallerMemory memory, CallerConnection owner) {
        this.memory = memory;
        this.owner = owner;
    }

    // -- construction

    /** Opens the account of a connection. */
    static CallerAccount of(CallerMemory memory, CallerConnection owner) {
        memory.add(owner);
        return new CallerAccount(memory, owner);
    }

    // -- queries

    /** Returns the memory of the connection, without that of a complete request. */
    long heldBytes() {
        return undecodedBytes + headBytes + bodyBytes + unsentBytes;
    }

    long undecodedBytes() {
        return undecodedBytes;
    }

    long unsentBytes() {
        return unsentBytes;
    }

    boolean isClosed() {
        return closed;
    }

    // -- commands

    /** Sets the memory of the bytes that are read and not decoded. */
    void setUndecoded(long bytes) {
        if (!closed) {
            long growth = bytes - undecodedBytes;
            undecodedBytes = bytes;
            change(growth);
        }
    }

    /** Sets the memory of the responses that are written and not sent. */
    void setUnsent(long bytes) {
        if (!closed) {
            long growth = bytes - unsentBytes;
            unsentBytes = bytes;
            change(growth);
        }
    }

    /** Enters bytes of a head or of trailers. */
    void addHead(long bytes) {
        if (!closed) {
            headBytes += bytes;
            change(bytes);
        }
    }

    /** Enters bytes of a body that are about to be kept. This may close the connection. */
    void addBody(long bytes) {
        if (!closed) {
            bodyBytes += bytes;
            change(bytes);
        }
    }

    /** Hands over the bytes of a request that is complete; they are returned by {@link #release}. */
    long takeRequest() {
        long bytes = headBytes + bodyBytes;
        headBytes = 0;
        bodyBytes = 0;
        return bytes;
    }

    /** Returns bytes of a request that was complete. */
    void release(long bytes) {
        change(-bytes);
    }

    /** Returns the bytes of a request that is given up. */
    void releaseRequest() {
        release(takeRequest());
    }

    /** Returns all memory but that of complete requests. */
    void close() {
        if (!closed) {
            closed = true;
            memory.remove(owner);
            long bytes = undecodedBytes + unsentBytes;
            undecodedBytes = 0;
            unsentBytes = 0;
            release(bytes + takeRequest());
        }
    }

    private void change(long growth) {
        if (growth > 0) {
            memory.reserve(owner, growth);
        } else if (growth < 0) {
            memory.release(-growth);
        }
    }
}

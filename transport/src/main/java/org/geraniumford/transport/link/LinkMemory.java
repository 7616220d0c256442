package org.geraniumford.transport.link;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.geraniumford.transport.log.LogEvent;

/**
 * The account of the bytes that all links of a process hold together: messages that are not received whole or not
 * delivered, and messages that are not sent. Above three quarters of the limit, long messages are not sent. Above the
 * limit, the link that holds most is closed, so that a few peers that send or read too little cannot use up the heap.
 * Thread-safe.
 */
public final class LinkMemory {
    /** The share of the heap for links. The buffer of a message that is not whole may be twice as long as its bytes. */
    private static final int HEAP_DIVISOR = 8;

    private final long limitBytes;
    private final Set<LinkAccount> accounts = new LinkedHashSet<>();
    private long heldBytes;
    private long evictions;

    private LinkMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    // -- construction

    /**
     * Creates an account without links that is limited to an eighth of this process's heap.
     *
     * @return a new account
     */
    public static LinkMemory ofHeap() {
        return ofLimit(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Creates an account without links.
     *
     * @param limitBytes the maximum number of bytes that are held together
     * @return a new account
     */
    public static LinkMemory ofLimit(long limitBytes) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("limitBytes is less than 1: " + limitBytes);
        }
        return new LinkMemory(limitBytes);
    }

    // -- queries

    /**
     * Returns how many bytes are held.
     *
     * @return a number from 0 to the limit
     */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns how many links have been closed because all together held too much.
     *
     * @return a number of 0 or more
     */
    public synchronized long evictions() {
        return evictions;
    }

    /** Returns whether long messages are not sent. */
    synchronized boolean isScarce() {
        return heldBytes > limitBytes / 4 * 3;
    }

    // -- commands

    /**
     * Adds a link that holds nothing yet.
     *
     * @param eviction closes the link; called at most once, by any thread
     * @return the link's part of this account, to be closed with the link
     */
    LinkAccount open(Runnable eviction) {
        LinkAccount account = new LinkAccount(this, requireNonNull(eviction, "eviction is null"));
        synchronized (this) {
            accounts.add(account);
        }
        return account;
    }

    /** Enters bytes that a link is about to hold. This may close links, also this one. */
    void hold(LinkAccount account, long bytes) {
        enter(account, bytes).forEach(LinkAccount::evict);
    }

    /** Enters bytes, and returns the links to be closed, whose bytes are no longer counted. */
    private synchronized List<LinkAccount> enter(LinkAccount account, long bytes) {
        List<LinkAccount> evicted = new ArrayList<>();
        if (accounts.contains(account)) {
            account.add(bytes);
            heldBytes += bytes;
        }
        while (heldBytes > limitBytes) {
            evicted.add(removeLargest());
        }
        return evicted;
    }

    private LinkAccount removeLargest() {
        LinkAccount largest = accounts.stream()
                .max(Comparator.comparingLong(LinkAccount::heldBytes))
                .orElseThrow();
        evictions++;
        LogEvent.of("link_evicted")
                .with("bytes", largest.heldBytes())
                .with("held_bytes", heldBytes)
                .with("limit_bytes", limitBytes)
                .with("links", accounts.size())
                .warn();
        remove(largest);
        return largest;
    }

    /** Returns bytes of a link to the account; without effect once the link was closed. */
    synchronized void release(LinkAccount account, long bytes) {
        if (accounts.contains(account)) {
            account.add(-bytes);
            heldBytes -= bytes;
        }
    }

    /** Removes a link with all its bytes. */
    synchronized void remove(LinkAccount account) {
        if (accounts.remove(account)) {
            heldBytes -= account.heldBytes();
        }
    }

    synchronized boolean contains(LinkAccount account) {
        return accounts.contains(account);
    }
}

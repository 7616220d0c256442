package org.geraniumford.core.close;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Deque;

/** Owns resources and closes them in the reverse of the order in which they were added. Thread-safe. */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private boolean closed;

    private Closer() {}

    // -- construction

    /**
     * Creates a closer without resources.
     *
     * @return a new closer
     */
    public static Closer empty() {
        return new Closer();
    }

    // -- commands

    /**
     * Adds a resource, which this closer then owns.
     *
     * @param resource the resource to close
     * @param <T> the resource's type
     * @return the same resource
     * @throws IllegalStateException if this closer is already closed; the resource is then closed immediately
     */
    public <T extends AutoCloseable> T add(T resource) {
        requireNonNull(resource, "resource is null");
        synchronized (resources) {
            if (!closed) {
                resources.push(resource);
                return resource;
            }
        }
        IllegalStateException failure = new IllegalStateException("cannot add a resource to a closed closer");
        closeOne(resource, failure);
        throw failure;
    }

    /**
     * Closes all resources, even if some of them fail to close.
     *
     * @throws IllegalStateException if one or more resources failed; it contains each failure as a suppressed exception
     */
    @Override
    public void close() {
        IllegalStateException failures = new IllegalStateException("one or more resources failed to close");
        AutoCloseable next = pollNext();
        while (next != null) {
            closeOne(next, failures);
            next = pollNext();
        }
        if (failures.getSuppressed().length > 0) {
            throw failures;
        }
    }

    /**
     * Removes and returns the resource that was added last, or null if none is left. From the first call on, no
     * resource can be added.
     */
    private AutoCloseable pollNext() {
        synchronized (resources) {
            closed = true;
            return resources.poll();
        }
    }

    @SuppressWarnings("InterruptedExceptionSwallowed")
    private static void closeOne(AutoCloseable resource, IllegalStateException failures) {
        try {
            resource.close();
        } catch (Exception e) {
            failures.addSuppressed(e);
        }
    }
}

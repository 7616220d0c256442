package org.geraniumford.core.close;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Deque;

/** Gathers resources and closes them in the reverse of the order in which they were added. Thread-safe. */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private boolean closed;

    private Closer() {}

    // -- construction

    /**
     * Creates a closer that holds nothing.
     *
     * @return a new closer
     */
    public static Closer empty() {
        return new Closer();
    }

    // -- commands

    /**
     * Takes ownership of a resource.
     *
     * @param resource what to close
     * @param <T> its type
     * @return the same resource
     * @throws IllegalStateException if this closer is closed; the resource is then closed at once
     */
    public <T extends AutoCloseable> T add(T resource) {
        requireNonNull(resource, "resource is null");
        synchronized (resources) {
            if (!closed) {
                resources.push(resource);
                return resource;
            }
        }
        IllegalStateException failure = new IllegalStateException("the closer is closed");
        closeOne(resource, failure);
        throw failure;
    }

    /**
     * Closes every resource, also when some of them fail.
     *
     * @throws IllegalStateException if one or more failed; each failure is suppressed in it
     */
    @Override
    public void close() {
        IllegalStateException failures = new IllegalStateException("a resource failed to close");
        AutoCloseable next = pollNext();
        while (next != null) {
            closeOne(next, failures);
            next = pollNext();
        }
        if (failures.getSuppressed().length > 0) {
            throw failures;
        }
    }

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

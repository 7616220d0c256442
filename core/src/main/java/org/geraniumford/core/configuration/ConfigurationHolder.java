package org.geraniumford.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/** Holds the configuration in force in a process and replaces it only by newer versions. Thread-safe. */
public final class ConfigurationHolder {
    private final AtomicReference<Configuration> current = new AtomicReference<>(Configuration.empty());
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

    private ConfigurationHolder() {}

    // -- construction

    /**
     * Creates a holder without a configuration.
     *
     * @return a holder at version 0
     */
    public static ConfigurationHolder empty() {
        return new ConfigurationHolder();
    }

    // -- queries

    /**
     * Returns the configuration in force.
     *
     * @return the newest configuration set so far; the empty configuration before the first
     */
    public Configuration current() {
        return current.get();
    }

    /**
     * Returns the version in force.
     *
     * @return the version; 0 before the first configuration
     */
    public long version() {
        return current.get().version();
    }

    // -- commands

    /**
     * Replaces the configuration in force if the candidate is newer, and then notifies the listeners.
     *
     * @param candidate the configuration
     * @return true if the candidate is now in force
     */
    public boolean updateIfNewer(Configuration candidate) {
        requireNonNull(candidate, "candidate is null");
        Configuration previous = current.getAndAccumulate(
                candidate, (existing, proposed) -> proposed.version() > existing.version() ? proposed : existing);
        boolean accepted = candidate.version() > previous.version();
        if (accepted) {
            listeners.forEach(listener -> listener.accept(candidate));
        }
        return accepted;
    }

    /**
     * Adds a listener for newer configurations. Two concurrent updates may be reported to it in either order.
     *
     * @param listener the callback, which runs on the thread that calls {@link #updateIfNewer}
     */
    public void onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
    }
}
